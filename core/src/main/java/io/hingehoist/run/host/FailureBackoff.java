package io.hingehoist.run.host;

/**
 * Detects a worker whose runs fail although it reports good health. After several consecutive
 * failures the worker counts as failing for a pause, which doubles until a run succeeds. Not
 * thread-safe: confined to the event-loop thread.
 */
final class FailureBackoff {
  private static final int FAILURES_BEFORE_PAUSE = 3;
  private static final long INITIAL_PAUSE_MS = 1_000;
  private static final long MAX_PAUSE_MS = 4_000;

  private int consecutiveFailures;
  private final ExponentialBackoff pause = new ExponentialBackoff(INITIAL_PAUSE_MS, MAX_PAUSE_MS);

  void recordSuccess() {
    consecutiveFailures = 0;
    pause.reset();
  }

  /** Records a failed run; returns whether it starts a pause. */
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
   * Returns whether the worker is on trial: its last runs failed, and only a few runs are started
   * to find out whether it has recovered.
   */
  boolean isOnTrial() {
    return consecutiveFailures >= FAILURES_BEFORE_PAUSE;
  }
}
