package io.hingehoist.run;

/** The way in which a best-effort job ended for its caller. */
public sealed interface JobEnd {

  /** Every task ended successfully. */
  record Completed() implements JobEnd {}

  /** The job ran, but will not be completed. */
  record Failed(String reason) implements JobEnd {}

  /** The caller cancelled the job. */
  record Cancelled() implements JobEnd {}

  /** No task was started and none will be; the caller may retry after the given time. */
  record Refused(String reason, long retryAfterMs) implements JobEnd {}

  /** The owner cannot continue the job; runs that it had ordered end when their leases expire. */
  record Dropped(String reason) implements JobEnd {}
}
