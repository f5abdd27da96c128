/**
 * Measures the cost of single decisions: their time with JMH, and their memory by filling the heap.
 *
 * <p>Start with {@link io.hingehoist.microbench.DecisionBenchmark}, which {@code ./bench
 * --decisions} runs, and {@link io.hingehoist.microbench.MemorySlopes}.
 */
package io.hingehoist.microbench;
