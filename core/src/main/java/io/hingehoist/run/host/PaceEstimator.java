package io.hingehoist.run.host;

/**
 * How long a worker usually takes for its runs, as a multiple of their estimates: what its kind of
 * machine gives, not what ails it at a moment.
 *
 * <p>The geometric mean of many ends, as estimates are off by a factor rather than by an amount.
 * One run that takes far longer than its like says little of the worker, so it counts for a bounded
 * factor. Owned by {@link WorkerInstance}.
 */
final class PaceEstimator {
  /** From so many ends on a pace is told; the tasks of one job share its wrong estimate. */
  private static final int MIN_ENDS = 12;

  /** As many ends as a worker has in some tens of seconds. */
  private static final int REMEMBERED_ENDS = 256;

  /** One end counts for a factor of 3 at most, up or down. */
  private static final double MAX_LOG_DEVIATION = Math.log(3);

  /** What is told stays as it is until the pace has moved by this factor. */
  private static final double REPORT_FACTOR = 1.08;

  private int ends;
  private double logPace;
  private int reportedPercent;

  /** Notes a run that ended well while the worker got on as usual. */
  void recordSuccess(long ranMs, long estimateMs) {
    double logRatio = Math.log(Math.max(1.0, ranMs) / Math.max(1.0, estimateMs));
    double off = Math.clamp(logRatio - logPace, -MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
    ends++;
    logPace += off / Math.min(ends, REMEMBERED_ENDS);
    updateReportedPercent();
  }

  private void updateReportedPercent() {
    if (ends < MIN_ENDS) {
      return;
    }
    double percent = 100 * Math.exp(logPace);
    boolean moved =
        reportedPercent == 0
            || percent > reportedPercent * REPORT_FACTOR
            || percent < reportedPercent / REPORT_FACTOR;
    if (moved) {
      reportedPercent = (int) Math.max(1, Math.round(percent));
    }
  }

  /** Returns the pace in hundredths of the estimates; 0 while too little is known. */
  int percent() {
    return reportedPercent;
  }
}
