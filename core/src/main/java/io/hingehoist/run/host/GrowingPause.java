package io.hingehoist.run.host;

/** A pause that may be made longer for the next time, up to a bound. Not thread-safe. */
final class GrowingPause {
  private final long firstMs;
  private final long mostMs;
  private long lengthMs;
  private long untilMs;

  GrowingPause(long firstMs, long mostMs) {
    this.firstMs = firstMs;
    this.mostMs = mostMs;
    this.lengthMs = firstMs;
  }

  void begin(long nowMs) {
    untilMs = nowMs + lengthMs;
  }

  /** Doubles the length of the next pause. */
  void grow() {
    lengthMs = Math.min(mostMs, 2 * lengthMs);
  }

  /** Ends the pause, and begins with the first length again. */
  void reset() {
    lengthMs = firstMs;
    untilMs = 0;
  }

  boolean lasts(long nowMs) {
    return nowMs < untilMs;
  }
}
