/**
 * The demonstration program that {@code ./demo} runs.
 *
 * <p>Start with {@link io.hingehoist.demo.Demo}.
 */
package io.hingehoist.demo;
