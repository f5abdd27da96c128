/**
 * What single decisions cost: time by JMH, memory by filling the heap.
 *
 * <p>Begin with {@link io.hingehoist.microbench.DecisionBenchmark}, which {@code ./bench
 * --decisions} runs, and {@link io.hingehoist.microbench.MemorySlopes}.
 */
package io.hingehoist.microbench;
