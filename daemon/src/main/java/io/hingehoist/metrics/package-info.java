/**
 * The Prometheus metrics of a process.
 *
 * <p>Start with {@link io.hingehoist.metrics.Metrics}.
 */
package io.hingehoist.metrics;
