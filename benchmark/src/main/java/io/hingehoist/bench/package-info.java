/**
 * The benchmark: open-loop load on a local cluster, with faults, and baselines in the same run.
 *
 * <p>Start with {@link io.hingehoist.bench.Bench}. Response times count from the time at which a
 * request was scheduled to be sent, so that a slow system can't hide its own delays (coordinated
 * omission).
 */
package io.hingehoist.bench;
