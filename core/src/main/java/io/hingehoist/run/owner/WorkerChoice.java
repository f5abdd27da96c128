package io.hingehoist.run.owner;

import io.hingehoist.run.Rooms;
import io.hingehoist.run.StepPlan;
import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the worker for a task: of those with room, the one that keeps the largest share free,
 * less what its slowness costs.
 *
 * <p>Slow and failing workers are left out while most of the service is well; were they most of it,
 * the fault would be with the work. Not thread-safe: {@link JobOwner} owns it.
 */
final class WorkerChoice {
  /** A worker that takes this many times as long as the mean of all is left out, if it is sick. */
  static final double TOO_SLOW = 2.5;

  private static final double SLOW_ON_TRIAL = 1.7;

  /**
   * Against its own usual pace, from which slowness on a worker counts as sick. Below it, one that
   * is slow by its kind has only met a task that takes longer than its like.
   */
  private static final double SICK = 1.7;

  private static final double SICK_ON_TRIAL = 1.4;

  /**
   * From this slowness on a worker is left to tasks that will be in time there, or can't be in time
   * anywhere: most tasks have less than that to spare.
   */
  private static final double SLOW_FOR_SOME = 1.2;

  private static final double SLOWNESS_COST = 0.5;
  private static final double FAR_COST = 0.6;
  private static final double MAX_LEFT_OUT = 0.4;

  private final SpeedTable speeds;

  WorkerChoice(SpeedTable speeds) {
    this.speeds = speeds;
  }

  /**
   * Returns the best worker for a task now; empty if none has room.
   *
   * @param leavesOut whether slow and failing workers are left out
   */
  Optional<WorkerView> choose(
      OwnedTask task, Collection<HostView> hosts, boolean leavesOut, long nowMs) {
    WorkerView best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (HostView host : hosts) {
      for (WorkerView worker : host.workers()) {
        if (isFit(worker, task, leavesOut, nowMs)) {
          double score = score(worker, task, nowMs);
          if (score > bestScore) {
            bestScore = score;
            best = worker;
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether so few workers of a service are unwell that the others can do its work. */
  boolean mayLeaveOut(String service, Collection<HostView> hosts, long nowMs) {
    int all = 0;
    int unwell = 0;
    for (HostView host : hosts) {
      for (WorkerView worker : host.workers()) {
        if (worker.row().service().equals(service)) {
          all++;
          if (worker.isUnwell() || isSlow(worker, nowMs)) {
            unwell++;
          }
        }
      }
    }
    return unwell <= all * MAX_LEFT_OUT;
  }

  /** Returns the share of the processors of workers that take runs which is free. */
  double freeShare(String service, Collection<HostView> hosts, long nowMs) {
    double freeMilli = 0;
    double allMilli = 0;
    for (HostView host : hosts) {
      for (WorkerView worker : host.workers()) {
        if (worker.row().service().equals(service) && worker.takesRuns(nowMs)) {
          freeMilli += Math.max(0, worker.free().cpuMilli());
          allMilli += worker.row().capacity().cpuMilli();
        }
      }
    }
    return allMilli == 0 ? 0 : freeMilli / allMilli;
  }

  boolean isSlow(WorkerView worker, long nowMs) {
    return isSlower(worker, TOO_SLOW, SICK, nowMs);
  }

  /**
   * A fast worker that is slow for itself is still of use, and one that is slow by kind is well.
   */
  private boolean isSlower(WorkerView worker, double thanAll, double thanUsual, long nowMs) {
    String workerId = worker.row().workerId();
    return speeds.slowness(workerId, nowMs) > thanAll
        && speeds.sickness(workerId, nowMs) > thanUsual;
  }

  /** Returns whether a worker may get a task now, and has room for it. */
  boolean isFit(WorkerView worker, OwnedTask task, boolean leavesOut, long nowMs) {
    return hasPlace(worker, task, leavesOut, nowMs) && !wouldMakeLate(worker, task, nowMs);
  }

  /** Returns whether a task waits though a worker has room, as it would be late there. */
  boolean waitsForFaster(
      OwnedTask task, Collection<HostView> hosts, boolean leavesOut, long nowMs) {
    for (HostView host : hosts) {
      for (WorkerView worker : host.workers()) {
        if (wouldMakeLate(worker, task, nowMs) && hasPlace(worker, task, leavesOut, nowMs)) {
          return true;
        }
      }
    }
    return false;
  }

  private boolean hasPlace(WorkerView worker, OwnedTask task, boolean leavesOut, long nowMs) {
    StepPlan step = task.plan();
    boolean takes = worker.takesRuns(nowMs) || (!leavesOut && worker.isUnwell());
    if (!takes || !worker.row().service().equals(task.job().plan().service())) {
      return false;
    }
    if (!Rooms.fits(step.need(), worker.free())) {
      return false;
    }
    // Two at one worker could not be told apart if it crashed.
    if (task.isSuspect() && worker.hasSuspect()) {
      return false;
    }
    if (!step.requires().isEmpty() && !worker.row().labels().contains(step.requires())) {
      return false;
    }
    if (step.maxTasksPerWorker() > 0
        && task.job().countOn(worker.row().workerId(), task.step()) >= step.maxTasksPerWorker()) {
      return false;
    }
    return !leavesOut || !(isSlow(worker, nowMs) || isBusyOnTrial(worker, nowMs));
  }

  /** Returns whether a task can be in time on a worker of usual speed, and can't on this one. */
  private boolean wouldMakeLate(WorkerView worker, OwnedTask task, long nowMs) {
    double slowness = speeds.slowness(worker.row().workerId(), nowMs);
    if (slowness < SLOW_FOR_SOME) {
      return false;
    }
    double usualMs = speeds.expectedMs(task.plan().estimateMs());
    double leftMs = task.job().objectiveAtMs() - nowMs;
    return usualMs <= leftMs && usualMs * slowness > leftMs;
  }

  /** A worker that was slow a moment ago gets one run at a time of this owner until it is well. */
  private boolean isBusyOnTrial(WorkerView worker, long nowMs) {
    return worker.activeRuns() > 0 && isSlower(worker, SLOW_ON_TRIAL, SICK_ON_TRIAL, nowMs);
  }

  private double score(WorkerView worker, OwnedTask task, long nowMs) {
    StepPlan step = task.plan();
    double score = worker.shareLeft(step.need());
    score -= SLOWNESS_COST * (speeds.slowness(worker.row().workerId(), nowMs) - 1);
    if (!step.near().isEmpty() && !worker.row().labels().contains(step.near())) {
      score -= FAR_COST;
    }
    if (worker.row().workerId().equals(task.avoidedWorkerId())) {
      score -= 2;
    }
    return score;
  }
}
