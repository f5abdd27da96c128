package io.hingehoist.run.host;

/** A pause that may be made longer for the next time, up to a bound. Not thread-safe. */
final class ExponentialBackoff {
  private final long initialMs;
  private final long maxMs;
  private long delayMs;
  private long endsAtMs;

  ExponentialBackoff(long initialMs, long maxMs) {
    this.initialMs = initialMs;
    this.maxMs = maxMs;
    this.delayMs = initialMs;
  }

  void start(long nowMs) {
    endsAtMs = nowMs + delayMs;
  }

  /** Doubles the length of the next pause. */
  void increase() {
    delayMs = Math.min(maxMs, 2 * delayMs);
  }

  /** Ends the pause, and begins with the first length again. */
  void reset() {
    delayMs = initialMs;
    endsAtMs = 0;
  }

  boolean isActive(long nowMs) {
    return nowMs < endsAtMs;
  }
}
