package io.hingehoist.run.load;

import java.util.HashMap;
import java.util.Map;

/**
 * A share of all room that is reserved for urgent, short work and not available to long work.
 *
 * <p>The policy covers a burst of long tasks of the lowest priority under overload. Runs are not
 * preempted, so each gap in the urgent work allows a long task to start, which then occupies its
 * room for many times the length of the urgent tasks, whose callers are refused. The reservation
 * serves these callers at the cost of delaying long work, possibly beyond its objective. Operators
 * have to make this choice, so without the setting nothing is reserved. Jobs that have started are
 * not delayed. Not thread-safe.
 */
public final class UrgentReservation {
  /**
   * Tasks that take at least this many times as long as more urgent ones count as long. Means over
   * each priority are compared, as single estimates are rough.
   */
  private static final double LONG_FACTOR = 2;

  /** Without arrivals for this time, a priority is ignored and needs no reserved room. */
  private static final long MAX_ARRIVAL_AGE_MS = 5_000;

  private static final double SAMPLE_WEIGHT = 0.05;

  private static final class PriorityStats {
    private double meanRunMs;
    private long lastArrivalAtMs;
  }

  private final double share;
  private final Map<Integer, PriorityStats> byPriority = new HashMap<>();

  private UrgentReservation(double share) {
    this.share = share;
  }

  /**
   * Creates a reservation.
   *
   * @param percent the reserved percentage of all room; 0 for none
   */
  public static UrgentReservation ofPercent(int percent) {
    return new UrgentReservation(percent / 100.0);
  }

  /** Records the arrival of a task and its expected run time. */
  public void recordArrival(int priority, double runMs, long nowMs) {
    PriorityStats stats = byPriority.computeIfAbsent(priority, p -> new PriorityStats());
    stats.meanRunMs = stats.lastArrivalAtMs == 0 ? runMs : mean(stats.meanRunMs, runMs);
    stats.lastArrivalAtMs = nowMs;
  }

  private static double mean(double before, double next) {
    return before + SAMPLE_WEIGHT * (next - before);
  }

  /**
   * Returns whether a task must wait because the free room is reserved for more urgent work.
   *
   * @param isStarted whether a task of its job may have started
   * @param freeShare the free share of all room
   */
  public boolean mustWait(int priority, boolean isStarted, double freeShare, long nowMs) {
    return !isStarted && freeShare < share && isLongBesideUrgent(priority, nowMs);
  }

  /** Returns whether nothing is reserved, so that the free share need not be computed. */
  public boolean isDisabled() {
    return share == 0;
  }

  /**
   * Returns whether a priority is the least urgent one and its tasks are long compared with more
   * urgent ones. Priorities in between are not restricted, as they would lose more than the urgent
   * work gains.
   */
  private boolean isLongBesideUrgent(int priority, long nowMs) {
    PriorityStats own = byPriority.get(priority);
    boolean longer = false;
    for (Map.Entry<Integer, PriorityStats> entry : byPriority.entrySet()) {
      PriorityStats other = entry.getValue();
      boolean isRecent = nowMs - other.lastArrivalAtMs < MAX_ARRIVAL_AGE_MS;
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
