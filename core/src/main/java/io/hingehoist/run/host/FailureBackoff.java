package io.hingehoist.run.host;

/**
 * Says when a worker fails what it runs, while its health seems good: after some failures in a row
 * it takes nothing for a time, which doubles until a run ends well. Not thread-safe.
 */
final class FailureBackoff {
  private static final int FAILURES_BEFORE_PAUSE = 3;
  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long MAX_PAUSE_MS = 4_000;

  private int consecutiveFailures;
  private final ExponentialBackoff pause = new ExponentialBackoff(FIRST_PAUSE_MS, MAX_PAUSE_MS);

  void recordSuccess() {
    consecutiveFailures = 0;
    pause.reset();
  }

  /** Notes a failed run; returns whether a pause begins with it. */
  boolean recordFailure(long nowMs) {
    consecutiveFailures++;
    if (consecutiveFailures < FAILURES_BEFORE_PAUSE || pause.isActive(nowMs)) {
      return false;
    }
    pause.start(nowMs);
    pause.increase();
    return true;
  }

  boolean isFailing(long nowMs) {
    return pause.isActive(nowMs);
  }

  /**
   * Returns whether the last runs failed, so that a few are enough to see whether the worker is
   * well.
   */
  boolean isOnTrial() {
    return consecutiveFailures >= FAILURES_BEFORE_PAUSE;
  }
}
