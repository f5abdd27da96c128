/**
 * What an owner decides: it takes jobs from callers, orders runs of their tasks at hosts, and
 * answers each job once.
 *
 * <p>In come jobs, what hosts show and report, and the time; out go {@link
 * io.hingehoist.run.owner.OwnerEffect}s. Begin with {@link io.hingehoist.run.owner.JobOwner}; the
 * way of a waiting task to a worker is {@link io.hingehoist.run.owner.WaitingTasks}, {@link
 * io.hingehoist.run.owner.PlacementPass}, {@link io.hingehoist.run.owner.WorkerChoice}. All of it
 * is free of input and output, and one thread owns it.
 */
package io.hingehoist.run.owner;
