/**
 * Best-effort jobs: jobs of steps and tasks that no log keeps.
 *
 * <p>An owner ({@link io.hingehoist.run.owner}) takes a job and sees to its runs; a host ({@link
 * io.hingehoist.run.host}), beside the workers, orders them. This package holds what both share:
 * plans of jobs, room, timing of leases, and the streams of a session between them. Decisions under
 * load stand in {@link io.hingehoist.run.load}. An owner's runs stop when its lease at the host
 * ends, and all runs of a worker when the host's lease there ends, so a task is started elsewhere
 * only once its last run is provably over.
 */
package io.hingehoist.run;
