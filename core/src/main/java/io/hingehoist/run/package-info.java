/**
 * Best-effort jobs: jobs of steps and tasks that no log keeps.
 *
 * <p>An owner takes a job and sees to its runs; a host, beside the workers, orders them. Begin with
 * {@link io.hingehoist.run.JobOwner} and {@link io.hingehoist.run.WorkerHost}. An owner's runs stop
 * when its lease at the host ends, and all runs of a worker when the host's lease there ends, so a
 * task is started elsewhere only once its last run is provably over.
 */
package io.hingehoist.run;
