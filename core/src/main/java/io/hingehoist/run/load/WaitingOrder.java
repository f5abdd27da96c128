package io.hingehoist.run.load;

/**
 * The order in which waiting work gets room: strictly by priority, and within a priority by
 * arrival. The tasks of one job are thus adjacent, and a job that has started is finished before
 * later ones start.
 */
public final class WaitingOrder {
  private WaitingOrder() {}

  /** Compares two pieces of waiting work, as a comparator; the one that gets room first is less. */
  public static int compare(WaitingWork a, WaitingWork b) {
    int byPriority = Integer.compare(a.priority(), b.priority());
    if (byPriority != 0) {
      return byPriority;
    }
    int byArrival = Long.compare(a.arrivalNumber(), b.arrivalNumber());
    return byArrival != 0 ? byArrival : a.name().compareTo(b.name());
  }
}
