package io.hingehoist.run.load;

/**
 * What counts as late before it is: while more comes than there is room for, work that can't be in
 * time any more goes behind all that can, and may not take the last room of a worker from it.
 */
public final class Lateness {
  /** Of the expected time, what a task of a begun job must have left: estimates are rough. */
  private static final double BEGUN_MARGIN = 0.7;

  /**
   * The same for a job that is not begun: one that would just miss its time takes room from others.
   */
  private static final double UNBEGUN_MARGIN = 1.0;

  /**
   * The share of a worker that must stay free beside a run whose job can't be in time any more: it
   * would take the room of one that can.
   */
  public static final double SPARE_SHARE = 0.1;

  private Lateness() {}

  /**
   * Returns whether a task that is started now will miss its objective.
   *
   * @param isBegun whether a task of its job may have started
   * @param expectedMs the time that it is expected to run
   * @param objectiveAtMs the end of the time in which the caller hopes for the answer
   */
  public static boolean isLate(boolean isBegun, double expectedMs, long objectiveAtMs, long nowMs) {
    double margin = isBegun ? BEGUN_MARGIN : UNBEGUN_MARGIN;
    return nowMs + margin * expectedMs > objectiveAtMs;
  }
}
