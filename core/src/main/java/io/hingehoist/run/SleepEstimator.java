package io.hingehoist.run;

/**
 * Estimates how long a box may have been asleep, by the time by which its time of day ran ahead of
 * its monotonic clock. Short sleeps add up, less an allowance for the drift between the clocks. Not
 * thread-safe.
 */
public final class SleepEstimator {
  /** Far below any lease, and above the imprecision of the two readings. */
  private static final long MIN_SLEEP_MS = 100;

  /** Well above the drift between the clocks of a box, yet too small to matter to a lease. */
  private static final double MAX_DRIFT = 0.01;

  private long monotonicMs;
  private long timeOfDayMs;
  private double suspectedMs;

  private SleepEstimator(long monotonicMs, long timeOfDayMs) {
    this.monotonicMs = monotonicMs;
    this.timeOfDayMs = timeOfDayMs;
  }

  /** Creates an estimator that starts at the given times of both clocks. */
  public static SleepEstimator at(long monotonicMs, long timeOfDayMs) {
    return new SleepEstimator(monotonicMs, timeOfDayMs);
  }

  /**
   * Returns how long the box may have slept and was not yet reported to have, by times of both
   * clocks; 0 if that is too short to be told from imprecision.
   */
  public long sleptMs(long newMonotonicMs, long newTimeOfDayMs) {
    long elapsedMs = newMonotonicMs - monotonicMs;
    long aheadMs = newTimeOfDayMs - timeOfDayMs - elapsedMs;
    monotonicMs = newMonotonicMs;
    timeOfDayMs = newTimeOfDayMs;
    suspectedMs = Math.max(0, suspectedMs + aheadMs - elapsedMs * MAX_DRIFT);
    if (suspectedMs < MIN_SLEEP_MS) {
      return 0;
    }
    long sleptMs = (long) Math.ceil(suspectedMs);
    suspectedMs = 0;
    return sleptMs;
  }
}
