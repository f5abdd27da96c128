package io.hingehoist.dispatch;

/** The result of a request, or the reason why it was not run. */
public sealed interface RequestOutcome {

  /** The request ran and returned a result. */
  record Complete(String result) implements RequestOutcome {}

  /** The request ran, or may have run, without returning a result. */
  record Failed(String reason) implements RequestOutcome {}

  /** The request did not run. */
  record Refused(RefusalCause cause, String reason, long retryAfterMs) implements RequestOutcome {}
}
