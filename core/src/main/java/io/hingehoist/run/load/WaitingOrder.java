package io.hingehoist.run.load;

/**
 * The order in which work gets room while there is too little: strictly by priority, and first come
 * first served within one, so that the tasks of one job come one after another and a job once begun
 * is finished before later ones begin.
 */
public final class WaitingOrder {
  private WaitingOrder() {}

  /** Compares two pieces of waiting work, as a comparator does: what comes first is less. */
  public static int compare(WaitingWork a, WaitingWork b) {
    int byPriority = Integer.compare(a.priority(), b.priority());
    if (byPriority != 0) {
      return byPriority;
    }
    int byArrival = Long.compare(a.arrivalNumber(), b.arrivalNumber());
    return byArrival != 0 ? byArrival : a.name().compareTo(b.name());
  }
}
