package io.hingehoist.run.host;

/**
 * Tracks a pause whose length doubles on request, up to a maximum. Not thread-safe: confined to the
 * event-loop thread.
 */
final class ExponentialBackoff {
  private final long initialMs;
  private final long maxMs;
  private long pauseMs;
  private long endsAtMs;

  ExponentialBackoff(long initialMs, long maxMs) {
    this.initialMs = initialMs;
    this.maxMs = maxMs;
    this.pauseMs = initialMs;
  }

  void start(long nowMs) {
    endsAtMs = nowMs + pauseMs;
  }

  /** Doubles the length of the next pause. */
  void increase() {
    pauseMs = Math.min(maxMs, 2 * pauseMs);
  }

  /** Ends the pause and restores the initial length. */
  void reset() {
    pauseMs = initialMs;
    endsAtMs = 0;
  }

  boolean isActive(long nowMs) {
    return nowMs < endsAtMs;
  }
}
