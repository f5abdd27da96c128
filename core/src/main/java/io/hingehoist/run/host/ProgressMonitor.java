package io.hingehoist.run.host;

import io.hingehoist.message.RunRef;
import io.hingehoist.run.TaskNames;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Says whether the runs of a worker get on, from the progress that its lists show.
 *
 * <p>Progress is work done, by the estimates of the runs, for the time that they ran. A worker that
 * stands still or is slow is so known within some 100 ms, from the runs of all owners together, and
 * before any of them has ended; each owner by itself lost some jobs to it first. Afterwards it
 * rests, and is then tried with a few runs. Not thread-safe: {@link WorkerHost} owns it.
 */
final class ProgressMonitor {
  /** How a worker's runs get on. */
  enum Pace {
    USUAL,
    SLOW,
    STALLED
  }

  /** Time of runs, added up, that a judgement needs: three runs for 50 ms. */
  private static final long MIN_RUN_MS = 150;

  /** Many runs at once add up sooner; a shorter time would judge one list's rounding. */
  private static final long MIN_WINDOW_MS = 30;

  /** Points of progress that a judgement needs to expect: progress comes in whole hundredths. */
  private static final double MIN_EXPECTED_PERCENT = 10;

  /** Below this share of the usual rate a worker is slow: estimates of one job are off by 0.4. */
  private static final double SLOW_SHARE = 0.4;

  /** The same when all runs are of one job, whose one estimate may be far too low. */
  private static final double SLOW_SHARE_OF_ONE_JOB = 0.2;

  /** Not zero: a run may have got on by a hundredth before the standstill began. */
  private static final double STALLED_SHARE = 0.05;

  /** The usual rate follows what is seen within some seconds, whatever estimates are worth. */
  private static final double USUAL_WEIGHT = 0.02;

  /** Longer than the 150 to 300 ms of a usual run, so that what is moved has found its place. */
  private static final long FIRST_REST_MS = 500;

  /** A rest longer than needed costs a worker's room, a failed trial a few runs 0.1 s. */
  private static final long MAX_REST_MS = 1_500;

  private static final int ALL_DONE = 100;

  private record Mark(int percent, long atMs) {}

  private final Map<RunRef, Mark> marks = new HashMap<>();
  private final Set<String> jobs = new HashSet<>();
  private final ExponentialBackoff rest = new ExponentialBackoff(FIRST_REST_MS, MAX_REST_MS);
  private double workMs;
  private double runMs;
  private double expectedPercent;
  private long windowBeganAtMs;
  private double usualRate = 1;
  private Pace pace = Pace.USUAL;
  private boolean seemedSlow;

  /** Notes how far a run has got. */
  void recordProgress(HostedRun run, int percent, long nowMs) {
    Mark before = marks.put(run.run, new Mark(percent, nowMs));
    if (before != null && before.percent() < ALL_DONE) {
      add(run, percent - before.percent(), nowMs - before.atMs());
    }
  }

  /** Notes that a run has ended well. */
  void recordSuccess(HostedRun run, long nowMs) {
    Mark before = marks.get(run.run);
    if (before != null) {
      add(run, ALL_DONE - before.percent(), nowMs - before.atMs());
    }
  }

  /** Forgets a run that is over. */
  void forget(HostedRun run) {
    marks.remove(run.run);
  }

  private void add(HostedRun run, int percent, long tookMs) {
    if (run.estimateMs <= 0) {
      return;
    }
    workMs += run.estimateMs * percent / (double) ALL_DONE;
    runMs += tookMs;
    expectedPercent += usualRate * tookMs * ALL_DONE / run.estimateMs;
    jobs.add(TaskNames.jobIdOf(run.run.task()));
  }

  /** Judges what was noted, if it is enough. Returns whether the pace is another one now. */
  boolean judge(long nowMs) {
    boolean enough =
        runMs >= MIN_RUN_MS
            && nowMs - windowBeganAtMs >= MIN_WINDOW_MS
            && expectedPercent >= MIN_EXPECTED_PERCENT;
    if (!enough) {
      return false;
    }
    double rate = workMs / runMs;
    Pace judged = confirmed(paceOf(rate / usualRate));
    beginWindow(nowMs);
    boolean changed = judged != pace;
    if (judged == Pace.USUAL) {
      usualRate += USUAL_WEIGHT * (rate - usualRate);
      rest.reset();
    } else {
      if (isOnTrial() && !rest.isActive(nowMs)) {
        rest.increase();
      }
      rest.start(nowMs);
    }
    pace = judged;
    return changed;
  }

  /**
   * Slowness counts once it is seen twice in a row: on a played day, about half of what was seen
   * once was the wrong estimate of some job.
   */
  private Pace confirmed(Pace seen) {
    boolean confirmed = seen != Pace.SLOW || seemedSlow;
    seemedSlow = seen == Pace.SLOW;
    return confirmed ? seen : pace;
  }

  private Pace paceOf(double share) {
    if (share < STALLED_SHARE) {
      return Pace.STALLED;
    }
    double slowShare = jobs.size() > 1 ? SLOW_SHARE : SLOW_SHARE_OF_ONE_JOB;
    return share < slowShare ? Pace.SLOW : Pace.USUAL;
  }

  private void beginWindow(long nowMs) {
    workMs = 0;
    runMs = 0;
    expectedPercent = 0;
    jobs.clear();
    windowBeganAtMs = nowMs;
  }

  /** Returns the pace; a worker that has rested counts as usual until it is judged again. */
  Pace pace(long nowMs) {
    return rest.isActive(nowMs) ? pace : Pace.USUAL;
  }

  /** Returns whether a few runs are enough to see whether the worker is well again. */
  boolean isOnTrial() {
    return pace != Pace.USUAL;
  }
}
