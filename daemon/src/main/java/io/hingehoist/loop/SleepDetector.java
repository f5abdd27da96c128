package io.hingehoist.loop;

import io.hingehoist.run.SleepEstimator;

/**
 * Detects that this box may have been asleep (a suspend of the system or its virtual machine): its
 * monotonic clock stops during a sleep, while the time of day advances. As the time of day may also
 * have been set forward, the result is only a suspicion; the holder of a lease then verifies it
 * with the other side, at the cost of one round trip. Not thread-safe: confined to the loop of a
 * node.
 */
public final class SleepDetector {
  private final SleepEstimator estimator;

  private SleepDetector(SleepEstimator estimator) {
    this.estimator = estimator;
  }

  /** Creates a detector that starts now. */
  public static SleepDetector create() {
    return at(InboxLoop.nowMs(), System.currentTimeMillis());
  }

  /** Creates a detector that starts at the given times of both clocks. */
  static SleepDetector at(long monotonicMs, long timeOfDayMs) {
    return new SleepDetector(SleepEstimator.at(monotonicMs, timeOfDayMs));
  }

  /** Returns how long this box may have slept and was not yet reported to have; 0 if it has not. */
  public long sleptMs() {
    return sleptMs(InboxLoop.nowMs(), System.currentTimeMillis());
  }

  /** Returns the same by times of both clocks. */
  long sleptMs(long monotonicMs, long timeOfDayMs) {
    return estimator.sleptMs(monotonicMs, timeOfDayMs);
  }
}
