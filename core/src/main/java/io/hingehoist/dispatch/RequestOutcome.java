package io.hingehoist.dispatch;

/** How a request ended, or why it was not run. */
public sealed interface RequestOutcome {

  /** The request ran, and this is its answer. */
  record Complete(String result) implements RequestOutcome {}

  /** The request ran, or may have run, and has no answer. */
  record Failed(String reason) implements RequestOutcome {}

  /** The request did not run. */
  record Refused(RefusalCause cause, String reason, long retryAfterMs) implements RequestOutcome {}
}
