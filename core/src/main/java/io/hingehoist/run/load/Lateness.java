package io.hingehoist.run.load;

/**
 * Predicts which tasks will be late. Under overload, tasks that can no longer be in time come after
 * all others and may not use the last room of a worker.
 */
public final class Lateness {
  /**
   * The fraction of its expected run time that must remain for a task of a started job to count as
   * in time. Less than 1 because estimates are rough.
   */
  private static final double STARTED_MARGIN = 0.7;

  /**
   * The same for a job that has not started. Larger, as a job that would narrowly miss its
   * objective takes room from others.
   */
  private static final double UNSTARTED_MARGIN = 1.0;

  /**
   * The share of a worker that must remain free once a late run is placed there, so that it does
   * not take the room of a run that can be in time.
   */
  public static final double MIN_FREE_SHARE_FOR_LATE = 0.1;

  private Lateness() {}

  /**
   * Returns whether a task that starts now is expected to miss the objective of its job.
   *
   * @param isStarted whether a task of the job may have started
   * @param expectedMs the expected run time of the task
   * @param objectiveAtMs the time by which the caller wants the answer
   */
  public static boolean isLate(
      boolean isStarted, double expectedMs, long objectiveAtMs, long nowMs) {
    double margin = isStarted ? STARTED_MARGIN : UNSTARTED_MARGIN;
    return nowMs + margin * expectedMs > objectiveAtMs;
  }
}
