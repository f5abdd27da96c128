/**
 * A deployment of real processes on this machine's loopback addresses, for demonstrations,
 * scenarios and benchmarks.
 *
 * <p>Begin with {@link io.hingehoist.cluster.LocalCluster}.
 */
package io.hingehoist.cluster;
