/**
 * Starts a cluster of real processes on loopback addresses of this machine, for the demonstration,
 * the scenarios and the benchmarks.
 *
 * <p>Start with {@link io.hingehoist.cluster.LocalCluster}.
 */
package io.hingehoist.cluster;
