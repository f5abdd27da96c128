package io.hingehoist.run.load;

import java.util.HashMap;
import java.util.Map;

/**
 * A share of all room that long work leaves to shorter, more urgent work.
 *
 * <p>The load that it answers: a burst of long tasks of the last priority while there is too little
 * room. A run is not taken back, so each gap in the urgent work lets a long task in that then holds
 * its room for many times the length of the urgent ones, whose callers are turned away. With the
 * reservation they are served, and long work comes later, or late; that is for operators to choose,
 * so without the setting nothing is kept. Work that is begun goes on. Not thread-safe.
 */
public final class UrgentReservation {
  /**
   * Tasks that take so many times as long as more urgent ones count as long. Queues are compared,
   * as single estimates are rough.
   */
  private static final double LONG_FACTOR = 2;

  /** Urgent work that has not come for so long needs no room kept. */
  private static final long RECENT_MS = 5_000;

  private static final double WEIGHT = 0.05;

  private static final class Queue {
    private double meanRunMs;
    private long cameAtMs;
  }

  private final double share;
  private final Map<Integer, Queue> byPriority = new HashMap<>();

  private UrgentReservation(double share) {
    this.share = share;
  }

  /**
   * Returns a reservation.
   *
   * @param percent of all room, 0 for none
   */
  public static UrgentReservation ofPercent(int percent) {
    return new UrgentReservation(percent / 100.0);
  }

  /** Notes work that came, and the time that a task of it is expected to run. */
  public void noteArrival(int priority, double runMs, long nowMs) {
    Queue queue = byPriority.computeIfAbsent(priority, p -> new Queue());
    queue.meanRunMs = queue.cameAtMs == 0 ? runMs : mean(queue.meanRunMs, runMs);
    queue.cameAtMs = nowMs;
  }

  private static double mean(double before, double next) {
    return before + WEIGHT * (next - before);
  }

  /**
   * Returns whether a task must wait, as what is free is kept for others.
   *
   * @param isBegun whether a task of its job may have started
   * @param freeShare the share of all room that is free
   */
  public boolean holdsBack(int priority, boolean isBegun, double freeShare, long nowMs) {
    return !isBegun && freeShare < share && isLongBesideUrgent(priority, nowMs);
  }

  /** Returns whether nothing is ever kept, so that the free share need not be known. */
  public boolean isNone() {
    return share == 0;
  }

  /** Only the least urgent work is held back: what lies between would lose more than it leaves. */
  private boolean isLongBesideUrgent(int priority, long nowMs) {
    Queue own = byPriority.get(priority);
    boolean longer = false;
    for (Map.Entry<Integer, Queue> entry : byPriority.entrySet()) {
      Queue other = entry.getValue();
      boolean isRecent = nowMs - other.cameAtMs < RECENT_MS;
      if (isRecent && entry.getKey() > priority) {
        return false;
      }
      if (isRecent && entry.getKey() < priority && own != null) {
        longer |= own.meanRunMs >= LONG_FACTOR * other.meanRunMs;
      }
    }
    return longer;
  }
}
