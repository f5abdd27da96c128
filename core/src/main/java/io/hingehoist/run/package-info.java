/**
 * Best-effort jobs, which consist of steps and tasks and are not written to a durable log.
 *
 * <p>An owner ({@link io.hingehoist.run.owner}) accepts a job and orders the runs of its tasks; a
 * host ({@link io.hingehoist.run.host}), on the box of the workers, has the workers carry them out.
 * This package contains what both share: job plans, amounts of room, the timing of leases, and the
 * message streams of the sessions between them. Policies under load are in {@link
 * io.hingehoist.run.load}. The runs of an owner stop when its lease at the host expires, and all
 * runs of a worker stop when the host's lease at the worker expires. A task is therefore started
 * elsewhere only once its last run is known to have ended.
 */
package io.hingehoist.run;
