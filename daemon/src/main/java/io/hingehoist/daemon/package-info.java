/**
 * The program {@code hingehoistd}.
 *
 * <p>Begin with {@link io.hingehoist.daemon.Main}.
 */
package io.hingehoist.daemon;
