package io.hingehoist.run.load;

/**
 * Determines how many hosts an owner follows, so that the waiting time of a caller does not depend
 * on the owner that its connection reaches.
 *
 * <p>The policy covers owners with very different numbers of callers while nearly all room is in
 * use. Hosts offer room that becomes free to the owners that follow them. If a busy owner followed
 * as many hosts as the others, it would be offered as much room as they are. Each owner therefore
 * follows hosts in proportion to the room that its runs use. The number of its waiting tasks is not
 * considered: if room is short everywhere, all owners would follow more hosts and compete for the
 * same room. Not thread-safe.
 */
public final class FollowedHostCount {
  /** The followed room as a multiple of the used room, as other owners use most of each host. */
  private static final double FOLLOWED_ROOM_FACTOR = 3;

  /** The maximum count as a multiple of the base count, as each followed host costs messages. */
  private static final int MAX_COUNT_FACTOR = 3;

  /** The weight of one sample in the moving mean, which follows the load within a second. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /**
   * Smaller changes are ignored, except back to the base count, as each change costs messages to
   * hosts.
   */
  private static final int MIN_CHANGE_HOSTS = 2;

  private final int baseCount;
  private int count;
  private double meanHosts;

  private FollowedHostCount(int baseCount) {
    this.baseCount = baseCount;
    this.count = baseCount;
  }

  /**
   * Creates the count of an owner without work.
   *
   * @param baseCount the minimum number of hosts to follow, at least 1
   */
  public static FollowedHostCount of(int baseCount) {
    return new FollowedHostCount(baseCount);
  }

  /** Returns the number of hosts to follow. */
  public int count() {
    return count;
  }

  /**
   * Adds a sample of the room in use; called at short intervals.
   *
   * @param usedHosts the room that this owner's runs use, as a number of hosts of mean capacity
   */
  public void sample(double usedHosts) {
    meanHosts += SAMPLE_WEIGHT * (usedHosts - meanHosts);
    double targetCount =
        Math.min(FOLLOWED_ROOM_FACTOR * meanHosts, (double) baseCount * MAX_COUNT_FACTOR);
    int next = (int) Math.max(baseCount, Math.round(targetCount));
    if (Math.abs((long) next - count) >= MIN_CHANGE_HOSTS || next == baseCount) {
      count = next;
    }
  }
}
