/**
 * The decisions of an owner, which accepts jobs from callers, orders runs of their tasks at hosts,
 * and answers each job once.
 *
 * <p>The inputs are jobs, the updates and reports of hosts, and the time; the outputs are {@link
 * io.hingehoist.run.owner.OwnerEffect}s. The entry point is {@link
 * io.hingehoist.run.owner.JobOwner}. A waiting task passes through {@link
 * io.hingehoist.run.owner.WaitingTasks}, {@link io.hingehoist.run.owner.PlacementPass} and {@link
 * io.hingehoist.run.owner.WorkerSelector} to a worker. The package performs no input or output and
 * is confined to one thread.
 */
package io.hingehoist.run.owner;
