package io.hingehoist.run;

/** How a best-effort job ended for its caller. */
public sealed interface JobEnd {

  /** Every task has ended well. */
  record Completed() implements JobEnd {}

  /** The job ran, and will not be completed. */
  record Failed(String reason) implements JobEnd {}

  /** Its caller ended it. */
  record Cancelled() implements JobEnd {}

  /** No task was started, and none will be; the caller may come back after a time. */
  record Refused(String reason, long retryAfterMs) implements JobEnd {}

  /** The owner can't go on with it; runs that it had ordered end by their leases. */
  record Dropped(String reason) implements JobEnd {}
}
