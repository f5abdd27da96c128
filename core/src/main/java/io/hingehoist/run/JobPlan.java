package io.hingehoist.run;

import java.util.List;

/**
 * A best-effort job as its caller submitted it, with the settings of its queue.
 *
 * @param jobId the id that the caller chose
 * @param queue the queue that the job was submitted to, for logs and metrics
 * @param service the service whose workers run the job
 * @param spec the specification that is passed to the worker with each start
 * @param priority the priority; 0 is the most urgent
 * @param attempts the number of failed runs of one task after which the job fails
 * @param objectiveMs the time within which the caller wants the answer
 * @param expiresAfterMs the time after which the answer is of no use
 * @param steps the steps, each with the indices of the steps that it depends on
 */
public record JobPlan(
    String jobId,
    String queue,
    String service,
    String spec,
    int priority,
    int attempts,
    long objectiveMs,
    long expiresAfterMs,
    List<StepPlan> steps) {

  /** Copies the list of steps. */
  public JobPlan {
    steps = List.copyOf(steps);
  }

  /** Returns the number of tasks of all steps. */
  public long taskCount() {
    return steps.stream().mapToLong(StepPlan::count).sum();
  }
}
