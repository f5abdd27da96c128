package io.hingehoist.run.host;

/**
 * Estimates how long a worker usually takes for its runs, as a multiple of their estimates. The
 * estimate reflects the kind of machine, not a temporary disturbance.
 *
 * <p>It is the geometric mean over many runs, as estimates are wrong by a factor rather than by an
 * amount. A single run that takes far longer than comparable ones says little about the worker, so
 * its factor is bounded. Not thread-safe: confined to the event-loop thread.
 */
final class PaceEstimator {
  /**
   * The number of runs before a pace is reported: the tasks of one job share one estimate, which
   * may be wrong.
   */
  private static final int MIN_RUNS = 12;

  /**
   * The number of runs over which the mean is taken; a worker completes them within some tens of
   * seconds.
   */
  private static final int WINDOW_RUNS = 256;

  /** A single run counts as a factor of at most 3, up or down. */
  private static final double MAX_LOG_DEVIATION = Math.log(3);

  /** The reported pace is kept until the estimate has changed by this factor. */
  private static final double REPORT_FACTOR = 1.08;

  private int runs;
  private double logPace;
  private int reportedPercent;

  /** Records a run that succeeded while the worker progressed at its usual rate. */
  void recordSuccess(long ranMs, long estimateMs) {
    double logRatio = Math.log(Math.max(1.0, ranMs) / Math.max(1.0, estimateMs));
    double logDeviation = Math.clamp(logRatio - logPace, -MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
    runs++;
    logPace += logDeviation / Math.min(runs, WINDOW_RUNS);
    updateReportedPercent();
  }

  private void updateReportedPercent() {
    if (runs < MIN_RUNS) {
      return;
    }
    double percent = 100 * Math.exp(logPace);
    boolean changed =
        reportedPercent == 0
            || percent > reportedPercent * REPORT_FACTOR
            || percent < reportedPercent / REPORT_FACTOR;
    if (changed) {
      reportedPercent = (int) Math.max(1, Math.round(percent));
    }
  }

  /** Returns the pace in percent of the estimates; 0 while there are too few runs. */
  int percent() {
    return reportedPercent;
  }
}
