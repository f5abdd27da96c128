package io.hingehoist.dispatch;

/**
 * Detects from refusals for full slots that all workers of a service are full. Trying one worker
 * after another then only costs messages, whereas the responses to this entry's own tasks report
 * free slots without extra messages. Not thread-safe: confined to the dispatch thread.
 */
final class RefusalBackoff {
  /** Consecutive refusals that are attributed to outdated load reports of single workers. */
  private static final int TOLERATED_REFUSALS = 2;

  private static final long RESET_AFTER_MS = 100;
  private static final long FIRST_PAUSE_MS = 5;
  private static final long MAX_PAUSE_MS = 160;

  private int consecutiveRefusals;
  private long refusedAtMs;
  private long pausedUntilMs;

  /** Records that a worker refused work because its slots were full. */
  void recordRefusal(long nowMs) {
    boolean consecutive = nowMs - Math.max(refusedAtMs, pausedUntilMs) <= RESET_AFTER_MS;
    consecutiveRefusals = consecutive ? consecutiveRefusals + 1 : 1;
    refusedAtMs = nowMs;
    if (consecutiveRefusals > TOLERATED_REFUSALS) {
      int doublings = Math.min(consecutiveRefusals - TOLERATED_REFUSALS - 1, 10);
      pausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << doublings);
    }
  }

  /** Returns whether only workers that report free slots at this moment should be tried. */
  boolean isPaused(long nowMs) {
    return nowMs < pausedUntilMs;
  }
}
