package io.hingehoist.run;

/**
 * Counts the lease of a peer from the moment at which the peer sent its last beat, by the peer's
 * own steady clock, so that a beat that was held up on its way renews nothing.
 *
 * <p>The difference of the two clocks is that of the beat that came fastest. Not thread-safe.
 */
final class LeaseClock {
  private final long leaseMs;
  private long smallestDelayMs = Long.MAX_VALUE;
  private long untilMs;

  LeaseClock(long leaseMs, long nowMs) {
    this.leaseMs = leaseMs;
    this.untilMs = nowMs + leaseMs;
  }

  void onBeat(long sentAtMs, long nowMs) {
    smallestDelayMs = Math.min(smallestDelayMs, nowMs - sentAtMs);
    untilMs = Math.max(untilMs, sentAtMs + smallestDelayMs + leaseMs);
  }

  boolean isOver(long nowMs) {
    return nowMs >= untilMs;
  }
}
