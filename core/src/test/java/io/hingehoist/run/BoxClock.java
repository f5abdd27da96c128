package io.hingehoist.run;

/**
 * The clocks of a simulated box. While the box is suspended its monotonic clock stops, and its time
 * of day advances.
 */
final class BoxClock {
  private long suspendedUntilMs;
  private long suspendedMs;
  private SleepEstimator estimator = SleepEstimator.at(0, 0);

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

  /** Returns how long the box may have slept, as the estimator of its process determines it. */
  long sleptMs(long timeOfDayMs) {
    return estimator.sleptMs(nowMs(timeOfDayMs), timeOfDayMs);
  }

  /** Handles the start of a process, which knows of no earlier suspension. */
  void processStarted(long timeOfDayMs) {
    estimator = SleepEstimator.at(nowMs(timeOfDayMs), timeOfDayMs);
  }
}
