package io.hingehoist.run.load;

/**
 * How many hosts an owner follows closely, so that a caller's wait does not depend on the box that
 * its connection came to.
 *
 * <p>The load that it answers: owners of which one has several times the callers of another, near
 * all of the room. Hosts offer room that becomes free to the owners that follow them; with as many
 * hosts as the others, a busy owner is offered as much room as they are. So each follows hosts in
 * proportion to the room that its work takes. What waits says nothing here: in a general lack of
 * room all would follow more, and get in each other's way. Not thread-safe.
 */
public final class FollowedHostCount {
  /** Followed room as a multiple of the room that is taken: most of it is taken by others. */
  private static final double ROOM_FACTOR = 3;

  /** What an owner may follow, as a multiple of its usual number: each costs messages. */
  private static final int MAX_FACTOR = 3;

  /** The weight of one look in the mean, so that it follows the load within a second. */
  private static final double WEIGHT = 0.1;

  /** Changes below it are left out, as hosts are told of each. */
  private static final int MIN_CHANGE = 2;

  private final int usual;
  private int count;
  private double meanHosts;

  private FollowedHostCount(int usual) {
    this.usual = usual;
    this.count = usual;
  }

  /**
   * Creates the count of an owner without work.
   *
   * @param usual the least number of hosts to follow, at least 1
   */
  public static FollowedHostCount of(int usual) {
    return new FollowedHostCount(usual);
  }

  /** Returns how many hosts to follow now. */
  public int count() {
    return count;
  }

  /**
   * Looks at the room that work takes; called at short intervals.
   *
   * @param takenHosts the room that this owner's runs take, in hosts of mean size
   */
  public void sample(double takenHosts) {
    meanHosts += WEIGHT * (takenHosts - meanHosts);
    double wanted = Math.min(ROOM_FACTOR * meanHosts, (double) usual * MAX_FACTOR);
    int next = (int) Math.max(usual, Math.round(wanted));
    if (Math.abs((long) next - count) >= MIN_CHANGE || next == usual) {
      count = next;
    }
  }
}
