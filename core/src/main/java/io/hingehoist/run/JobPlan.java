package io.hingehoist.run;

import java.util.List;

/**
 * A best-effort job as its caller handed it in, with the rules of its queue.
 *
 * @param jobId the caller's name for it
 * @param queue the queue that it came by, for logs and counts
 * @param service the service whose workers run it
 * @param spec the text that each start brings
 * @param priority 0 goes first
 * @param attempts the failed runs of one task after which the job fails
 * @param objectiveMs the time in which the caller hopes for the answer
 * @param expiresAfterMs the time after which the answer is worth nothing
 * @param steps the steps, each after those that it names
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

  /** Copies the list. */
  public JobPlan {
    steps = List.copyOf(steps);
  }
}
