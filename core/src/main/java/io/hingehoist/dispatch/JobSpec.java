package io.hingehoist.dispatch;

import java.util.List;

/**
 * A job as its owner dispatches it. Times are of the replicated clock, except the deadline.
 *
 * @param jobId the number that its admission got
 * @param epoch the epoch under which this entry owns it
 * @param admittedAtMs when it was admitted
 * @param deadlineMs when it is given up, on the dispatcher's clock
 */
public record JobSpec(
    long jobId,
    long epoch,
    long admittedAtMs,
    String service,
    String jobClass,
    String team,
    long deadlineMs,
    List<String> payloads) {

  /** Copies the payloads. */
  public JobSpec {
    payloads = List.copyOf(payloads);
    if (payloads.isEmpty()) {
      throw new IllegalArgumentException("job " + jobId + " has no task");
    }
  }
}
