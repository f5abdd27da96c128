package io.hingehoist.loop;

/**
 * Detects that this box may have been asleep (a suspend of the system or its virtual machine): its
 * monotonic clock stops during a sleep, while the time of day advances. As the time of day may also
 * have been set forward, the result is only a suspicion; the holder of a lease then verifies it
 * with the other side, at the cost of one round trip. Not thread-safe: confined to the loop of a
 * node.
 */
public final class SleepDetector {
  /** Far below any lease, and above the drift between the clocks of a box between two calls. */
  private static final long MIN_SLEEP_MS = 100;

  private long clockOffsetMs;

  private SleepDetector(long clockOffsetMs) {
    this.clockOffsetMs = clockOffsetMs;
  }

  /** Creates a detector that starts now. */
  public static SleepDetector create() {
    return at(InboxLoop.nowMs(), System.currentTimeMillis());
  }

  /** Creates a detector that starts at the given times of both clocks. */
  static SleepDetector at(long monotonicMs, long timeOfDayMs) {
    return new SleepDetector(timeOfDayMs - monotonicMs);
  }

  /** Returns how long this box may have slept since the last call; 0 if it has not slept. */
  public long sleptMs() {
    return sleptMs(InboxLoop.nowMs(), System.currentTimeMillis());
  }

  /** Returns how long this box may have slept since the last call, by times of both clocks. */
  long sleptMs(long monotonicMs, long timeOfDayMs) {
    long newClockOffsetMs = timeOfDayMs - monotonicMs;
    long jumpMs = newClockOffsetMs - clockOffsetMs;
    clockOffsetMs = newClockOffsetMs;
    return jumpMs >= MIN_SLEEP_MS ? jumpMs : 0;
  }
}
