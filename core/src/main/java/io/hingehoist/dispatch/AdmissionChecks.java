package io.hingehoist.dispatch;

import io.hingehoist.settings.ServicePolicy;
import java.util.Optional;

/** Static methods that decide whether a service can accept more work, and when to retry if not. */
final class AdmissionChecks {
  /** Retry delay for conditions that end when a lease is renewed or a worker returns. */
  static final long RETRY_SOON_MS = 1_000;

  /** Retry delay for conditions that only an operator can change. */
  private static final long RETRY_LATER_MS = 30_000;

  private static final long MIN_RETRY_AFTER_MS = 100;

  private AdmissionChecks() {}

  /** Returns why a service can't finish a number of tasks by a deadline; empty if it can. */
  static Optional<RequestOutcome.Refused> refusalOf(
      ServicePool pool, ServicePolicy policy, int tasks, long deadlineMs, long nowMs) {
    if (!policy.enabled()) {
      return refused(RefusalCause.DISABLED, "settings have this work disabled", RETRY_LATER_MS);
    }
    if (!pool.hasWorkers(nowMs)) {
      return refused(RefusalCause.NO_WORKERS, "no worker takes work", RETRY_SOON_MS);
    }
    if (pool.waitingTasks() + tasks > policy.queueTasks() + pool.workers().size()) {
      return refused(RefusalCause.QUEUE_FULL, "too much work waits", retryAfterMs(pool));
    }
    double neededMs = pool.estimatedTimeMs(tasks, nowMs);
    if (nowMs + neededMs > deadlineMs) {
      long missingMs = (long) (nowMs + neededMs - deadlineMs);
      return refused(
          RefusalCause.DEADLINE,
          "about %.0f ms are needed and %d ms are left".formatted(neededMs, deadlineMs - nowMs),
          Math.max(MIN_RETRY_AFTER_MS, missingMs));
    }
    return Optional.empty();
  }

  /** Returns the estimated time until the work that waits now has ended. */
  static long retryAfterMs(ServicePool pool) {
    return Math.max(MIN_RETRY_AFTER_MS, (long) pool.estimatedTimeMs(0, 0));
  }

  static Optional<RequestOutcome.Refused> refused(
      RefusalCause cause, String reason, long retryAfterMs) {
    return Optional.of(new RequestOutcome.Refused(cause, reason, retryAfterMs));
  }
}
