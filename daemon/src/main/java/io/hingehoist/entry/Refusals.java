package io.hingehoist.entry;

import io.hingehoist.command.AdmissionRefused;
import io.hingehoist.command.RefusalReason;
import io.hingehoist.dispatch.RefusalCause;
import io.hingehoist.dispatch.RequestOutcome;

/** Static helpers that convert refusals and outcomes into answers. */
final class Refusals {
  private static final long RETRY_AFTER_MS = 1_000;

  private Refusals() {}

  static RequestOutcome.Refused stopping() {
    return new RequestOutcome.Refused(
        RefusalCause.STOPPING, "this entry is about to stop", RETRY_AFTER_MS);
  }

  static Answer toAnswer(RequestOutcome.Refused refused) {
    return new Answer.Refused(refused.cause().name(), refused.reason(), refused.retryAfterMs());
  }

  /**
   * Returns the answer for a refused admission. It carries a retry time only if the entry was not
   * live: a refusal caused by the content of the submission would be repeated.
   */
  static Answer toAnswer(AdmissionRefused refused) {
    long retryAfterMs = refused.reason() == RefusalReason.ENTRY_NOT_LIVE ? RETRY_AFTER_MS : 0;
    return new Answer.Refused(refused.reason().name(), refused.detail(), retryAfterMs);
  }

  static Answer toAnswer(RequestOutcome outcome) {
    return switch (outcome) {
      case RequestOutcome.Complete complete ->
          new Answer.Complete(java.util.List.of(complete.result()));
      case RequestOutcome.Failed failed -> new Answer.Failed(failed.reason());
      case RequestOutcome.Refused refused -> toAnswer(refused);
    };
  }
}
