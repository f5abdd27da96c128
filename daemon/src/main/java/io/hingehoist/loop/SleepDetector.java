package io.hingehoist.loop;

import io.hingehoist.run.SleepEstimator;
import java.util.function.LongSupplier;

/**
 * Detects that this box may have been asleep (a suspend of the system or its virtual machine): its
 * monotonic clock stops during a sleep, while the time of day advances. As the time of day may also
 * have been set forward, the result is only a suspicion; the holder of a lease then verifies it
 * with the other side, at the cost of one round trip. Not thread-safe: confined to the loop of a
 * node.
 */
public final class SleepDetector {
  private static final long MAX_READING_MS = 1;

  /** Bounds the time spent on a box that is so slow that no reading is fast enough. */
  private static final int MAX_READINGS = 8;

  private final LongSupplier monotonicMs;
  private final LongSupplier timeOfDayMs;
  private final SleepEstimator estimator;

  private SleepDetector(LongSupplier monotonicMs, LongSupplier timeOfDayMs) {
    this.monotonicMs = monotonicMs;
    this.timeOfDayMs = timeOfDayMs;
    Reading first = read();
    this.estimator = SleepEstimator.at(first.monotonicMs(), first.timeOfDayMs());
  }

  /** Times of both clocks at the same moment. */
  private record Reading(long monotonicMs, long timeOfDayMs) {}

  /** Creates a detector that starts now. */
  public static SleepDetector create() {
    return of(InboxLoop::nowMs, System::currentTimeMillis);
  }

  /** Creates a detector that starts at the present times of the given clocks. */
  public static SleepDetector of(LongSupplier monotonicMs, LongSupplier timeOfDayMs) {
    return new SleepDetector(monotonicMs, timeOfDayMs);
  }

  /** Returns how long this box may have slept and was not yet reported to have; 0 if it has not. */
  public long sleptMs() {
    Reading reading = read();
    return estimator.sleptMs(reading.monotonicMs(), reading.timeOfDayMs());
  }

  /** Reads both clocks, again if this thread was paused in between. */
  private Reading read() {
    Reading reading = readOnce();
    for (int i = 1; i < MAX_READINGS && !isOfOneMoment(reading); i++) {
      reading = readOnce();
    }
    return reading;
  }

  private Reading readOnce() {
    return new Reading(monotonicMs.getAsLong(), timeOfDayMs.getAsLong());
  }

  private boolean isOfOneMoment(Reading reading) {
    return monotonicMs.getAsLong() - reading.monotonicMs() <= MAX_READING_MS;
  }
}
