package io.hingehoist.dispatch;

import java.util.List;

/**
 * Describes a job to the dispatcher of the entry that owns it.
 *
 * @param jobId the number assigned at admission
 * @param epoch the epoch under which this entry owns the job
 * @param admittedAtMs when the job was admitted, on the replicated clock
 * @param deadlineMs when the job fails unless it has ended, on the dispatcher's clock
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

  /** Copies the payloads, of which there must be at least one. */
  public JobSpec {
    payloads = List.copyOf(payloads);
    if (payloads.isEmpty()) {
      throw new IllegalArgumentException("job " + jobId + " has no task");
    }
  }
}
