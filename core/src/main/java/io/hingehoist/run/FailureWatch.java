package io.hingehoist.run;

/**
 * Says when a worker fails what it runs, while its health seems good: after some failures in a row
 * it takes nothing for a time, which doubles until a run ends well. Not thread-safe.
 */
final class FailureWatch {
  private static final int ROW_OF_FAILURES = 3;
  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long MAX_PAUSE_MS = 4_000;

  private int inARow;
  private long pauseMs = FIRST_PAUSE_MS;
  private long untilMs;

  void noteDone() {
    inARow = 0;
    pauseMs = FIRST_PAUSE_MS;
    untilMs = 0;
  }

  /** Notes a failed run; returns whether a pause begins with it. */
  boolean noteFailed(long nowMs) {
    inARow++;
    if (inARow < ROW_OF_FAILURES || nowMs < untilMs) {
      return false;
    }
    untilMs = nowMs + pauseMs;
    pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
    return true;
  }

  boolean isFailing(long nowMs) {
    return nowMs < untilMs;
  }

  /**
   * Returns whether the last runs failed, so that a few are enough to see whether the worker is
   * well.
   */
  boolean isOnTrial() {
    return inARow >= ROW_OF_FAILURES;
  }
}
