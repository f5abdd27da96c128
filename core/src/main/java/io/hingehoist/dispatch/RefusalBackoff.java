package io.hingehoist.dispatch;

/**
 * Tells when refusals for full slots mean that the whole service is full. Then trying one worker
 * after the other only costs messages, while this entry's own finishing tasks show free slots for
 * nothing. Not thread-safe: the dispatch thread owns it.
 */
final class RefusalBackoff {
  /** Refusals in a row that are put down to an outdated view of single workers. */
  private static final int FREE_TRIES = 2;

  private static final long FORGET_MS = 100;
  private static final long FIRST_PAUSE_MS = 5;
  private static final long MAX_PAUSE_MS = 160;

  private int refusals;
  private long refusedAtMs;
  private long pausedUntilMs;

  /** Notes that a worker refused work for full slots. */
  void noteRefusal(long nowMs) {
    boolean inARow = nowMs - Math.max(refusedAtMs, pausedUntilMs) <= FORGET_MS;
    refusals = inARow ? refusals + 1 : 1;
    refusedAtMs = nowMs;
    if (refusals > FREE_TRIES) {
      int doublings = Math.min(refusals - FREE_TRIES - 1, 10);
      pausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << doublings);
    }
  }

  /** Returns whether only workers with an answer of this moment should be tried. */
  boolean isPaused(long nowMs) {
    return nowMs < pausedUntilMs;
  }
}
