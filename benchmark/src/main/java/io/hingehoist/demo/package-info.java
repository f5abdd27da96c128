/**
 * The demonstration that {@code ./demo} runs.
 *
 * <p>Begin with {@link io.hingehoist.demo.Demo}.
 */
package io.hingehoist.demo;
