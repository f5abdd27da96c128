/**
 * The program {@code hingehoistd}: starts and stops the processes.
 *
 * <p>Start with {@link io.hingehoist.daemon.Main}.
 */
package io.hingehoist.daemon;
