/**
 * The counters and histograms of a process, for Prometheus.
 *
 * <p>Begin with {@link io.hingehoist.metrics.Metrics}.
 */
package io.hingehoist.metrics;
