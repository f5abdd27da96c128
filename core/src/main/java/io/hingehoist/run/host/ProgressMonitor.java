package io.hingehoist.run.host;

import io.hingehoist.message.RunRef;
import io.hingehoist.run.TaskNames;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Judges from the progress in a worker's run lists whether its runs advance at the usual rate.
 *
 * <p>The rate is the work done, according to the estimates of the runs, per time that they ran. The
 * runs of all owners together reveal a stalled or slow worker within some 100 ms, before any run
 * has ended; an owner on its own would lose some jobs to the worker first. Such a worker is then
 * avoided for a pause and afterwards tried with a few runs. Not thread-safe: confined to the
 * event-loop thread.
 */
final class ProgressMonitor {
  /** The rate at which a worker's runs advance. */
  enum Rate {
    USUAL,
    SLOW,
    STALLED
  }

  /** The minimum run time, summed over all runs, for a judgement: three runs of 50 ms. */
  private static final long MIN_RUN_MS = 150;

  /**
   * The minimum length of the window. Many concurrent runs reach the minimum run time sooner, but a
   * shorter window would judge the rounding of a single list.
   */
  private static final long MIN_WINDOW_MS = 30;

  /**
   * The minimum expected progress, in percentage points, for a judgement: progress is reported in
   * whole percent.
   */
  private static final double MIN_EXPECTED_PERCENT = 10;

  /** A worker is slow below this share of the usual rate: estimates of one job deviate by 0.4. */
  private static final double SLOW_SHARE = 0.4;

  /** The same if all runs belong to one job, whose single estimate may be far too low. */
  private static final double SLOW_SHARE_OF_ONE_JOB = 0.2;

  /** Not zero: a run may have advanced by one percent before the worker stalled. */
  private static final double STALLED_SHARE = 0.05;

  /**
   * The usual rate follows the observed one within some seconds, however wrong the estimates are.
   */
  private static final double USUAL_WEIGHT = 0.02;

  /**
   * Longer than the 150 to 300 ms of a usual run, so that moved tasks have started elsewhere by
   * then.
   */
  private static final long INITIAL_PAUSE_MS = 500;

  /**
   * A pause that is longer than needed leaves a worker's room unused; a failed trial delays a few
   * runs by 0.1 s.
   */
  private static final long MAX_PAUSE_MS = 1_500;

  private static final int COMPLETE_PERCENT = 100;

  private record Sample(int percent, long atMs) {}

  private final Map<RunRef, Sample> samples = new HashMap<>();
  private final Set<String> jobs = new HashSet<>();
  private final ExponentialBackoff pause = new ExponentialBackoff(INITIAL_PAUSE_MS, MAX_PAUSE_MS);
  private double workMs;
  private double runMs;
  private double expectedPercent;
  private long windowStartedAtMs;
  private double usualRate = 1;
  private Rate rate = Rate.USUAL;
  private boolean slowBefore;

  /** Records the progress of a run. */
  void recordProgress(HostedRun run, int percent, long nowMs) {
    Sample before = samples.put(run.run, new Sample(percent, nowMs));
    if (before != null && before.percent() < COMPLETE_PERCENT) {
      add(run, percent - before.percent(), nowMs - before.atMs());
    }
  }

  /** Records that a run has succeeded. */
  void recordSuccess(HostedRun run, long nowMs) {
    Sample before = samples.get(run.run);
    if (before != null) {
      add(run, COMPLETE_PERCENT - before.percent(), nowMs - before.atMs());
    }
  }

  /** Removes a run that is over. */
  void remove(HostedRun run) {
    samples.remove(run.run);
  }

  private void add(HostedRun run, int percent, long elapsedMs) {
    if (run.estimateMs <= 0) {
      return;
    }
    workMs += run.estimateMs * percent / (double) COMPLETE_PERCENT;
    runMs += elapsedMs;
    expectedPercent += usualRate * elapsedMs * COMPLETE_PERCENT / run.estimateMs;
    jobs.add(TaskNames.jobIdOf(run.run.task()));
  }

  /** Judges the recorded progress if there is enough of it; returns whether the rate changed. */
  boolean judge(long nowMs) {
    boolean enough =
        runMs >= MIN_RUN_MS
            && nowMs - windowStartedAtMs >= MIN_WINDOW_MS
            && expectedPercent >= MIN_EXPECTED_PERCENT;
    if (!enough) {
      return false;
    }
    double observedRate = workMs / runMs;
    Rate judged = confirmed(rateOf(observedRate / usualRate));
    startWindow(nowMs);
    boolean changed = judged != rate;
    if (judged == Rate.USUAL) {
      usualRate += USUAL_WEIGHT * (observedRate - usualRate);
      pause.reset();
    } else {
      if (isOnTrial() && !pause.isActive(nowMs)) {
        pause.increase();
      }
      pause.start(nowMs);
    }
    rate = judged;
    return changed;
  }

  /**
   * Reports slowness only after two consecutive observations: in a simulated day, about half of the
   * single observations were due to the wrong estimate of some job.
   */
  private Rate confirmed(Rate observed) {
    boolean confirmed = observed != Rate.SLOW || slowBefore;
    slowBefore = observed == Rate.SLOW;
    return confirmed ? observed : rate;
  }

  private Rate rateOf(double share) {
    if (share < STALLED_SHARE) {
      return Rate.STALLED;
    }
    double slowShare = jobs.size() > 1 ? SLOW_SHARE : SLOW_SHARE_OF_ONE_JOB;
    return share < slowShare ? Rate.SLOW : Rate.USUAL;
  }

  private void startWindow(long nowMs) {
    workMs = 0;
    runMs = 0;
    expectedPercent = 0;
    jobs.clear();
    windowStartedAtMs = nowMs;
  }

  /** Returns the rate; after its pause a worker counts as usual until the next judgement. */
  Rate rate(long nowMs) {
    return pause.isActive(nowMs) ? rate : Rate.USUAL;
  }

  /**
   * Returns whether the worker is on trial: only a few runs are started to find out whether it has
   * recovered.
   */
  boolean isOnTrial() {
    return rate != Rate.USUAL;
  }
}
