package io.hingehoist.run;

/**
 * The clocks of a simulated box. While the box is suspended its monotonic clock stops, and its time
 * of day advances.
 */
final class BoxClock {
  private static final long MIN_SLEEP_MS = 100;

  private long suspendedUntilMs;
  private long suspendedMs;
  private long checkedSuspendedMs;

  /** Suspends the box for a time. Requires that it is not suspended. */
  void suspend(long durationMs, long timeOfDayMs) {
    suspendedUntilMs = timeOfDayMs + durationMs;
    suspendedMs += durationMs;
  }

  long suspendedUntilMs() {
    return suspendedUntilMs;
  }

  /** Returns the time of the monotonic clock. */
  long nowMs(long timeOfDayMs) {
    return Math.max(timeOfDayMs, suspendedUntilMs) - suspendedMs;
  }

  /** Returns how long the box may have slept since the last call, as its process determines it. */
  long sleptMs() {
    long sleptMs = suspendedMs - checkedSuspendedMs;
    checkedSuspendedMs = suspendedMs;
    return sleptMs >= MIN_SLEEP_MS ? sleptMs : 0;
  }
}
