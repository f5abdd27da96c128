/**
 * The benchmark: open-loop load on a local cluster, with faults, beside baselines in the same run.
 *
 * <p>Begin with {@link io.hingehoist.bench.Bench}. Response times count from the moment at which a
 * request was meant to be sent, so a slow system does not hide its own delays.
 */
package io.hingehoist.bench;
