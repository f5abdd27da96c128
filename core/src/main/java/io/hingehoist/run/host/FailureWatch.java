package io.hingehoist.run.host;

/**
 * Says when a worker fails what it runs, while its health seems good: after some failures in a row
 * it takes nothing for a time, which doubles until a run ends well. Not thread-safe.
 */
final class FailureWatch {
  private static final int ROW_OF_FAILURES = 3;
  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long MAX_PAUSE_MS = 4_000;

  private int inARow;
  private final GrowingPause pause = new GrowingPause(FIRST_PAUSE_MS, MAX_PAUSE_MS);

  void noteDone() {
    inARow = 0;
    pause.reset();
  }

  /** Notes a failed run; returns whether a pause begins with it. */
  boolean noteFailed(long nowMs) {
    inARow++;
    if (inARow < ROW_OF_FAILURES || pause.lasts(nowMs)) {
      return false;
    }
    pause.begin(nowMs);
    pause.grow();
    return true;
  }

  boolean isFailing(long nowMs) {
    return pause.lasts(nowMs);
  }

  /**
   * Returns whether the last runs failed, so that a few are enough to see whether the worker is
   * well.
   */
  boolean isOnTrial() {
    return inARow >= ROW_OF_FAILURES;
  }
}
