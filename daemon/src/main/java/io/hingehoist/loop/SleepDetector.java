package io.hingehoist.loop;

/**
 * Notices that this box may have been suspended: its steady clock stood meanwhile, and the time of
 * day went on. The time of day may also have been set forward, so this is a doubt and not a proof;
 * whoever holds a lease asks the other side, which costs one round trip. Owned by the loop of a
 * node.
 */
public final class SleepDetector {
  /** Far below any lease, and above what clocks of one box drift apart between two looks. */
  private static final long MIN_SLEEP_MS = 100;

  private long aheadMs;

  private SleepDetector(long aheadMs) {
    this.aheadMs = aheadMs;
  }

  /** Creates a watch that begins now. */
  public static SleepDetector create() {
    return at(InboxLoop.nowMs(), System.currentTimeMillis());
  }

  /** Creates a watch that begins at times of both clocks. */
  static SleepDetector at(long steadyMs, long timeOfDayMs) {
    return new SleepDetector(timeOfDayMs - steadyMs);
  }

  /** Returns how long this box may have slept since the last call; 0 if it did not. */
  public long sleptMs() {
    return sleptMs(InboxLoop.nowMs(), System.currentTimeMillis());
  }

  /** Returns the same by times of both clocks. */
  long sleptMs(long steadyMs, long timeOfDayMs) {
    long nowAheadMs = timeOfDayMs - steadyMs;
    long jumpMs = nowAheadMs - aheadMs;
    aheadMs = nowAheadMs;
    return jumpMs >= MIN_SLEEP_MS ? jumpMs : 0;
  }
}
