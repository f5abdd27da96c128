package io.hingehoist.run.owner;

import io.hingehoist.run.Rooms;
import io.hingehoist.run.StepPlan;
import java.util.Collection;
import java.util.Optional;

/**
 * Selects the worker for a task: among those with room, the one with the largest share left free,
 * reduced by penalties for slowness and for distance from the task's data.
 *
 * <p>Slow and failing workers are excluded as long as most workers of the service are healthy. If
 * most of them are unhealthy, the cause lies in the work rather than in the workers. Not
 * thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class WorkerSelector {
  /**
   * A worker slower than this multiple of the fleet's mean is excluded, if it is also unusually
   * slow.
   */
  static final double MAX_SLOWNESS_VS_FLEET = 2.5;

  private static final double TRIAL_SLOWNESS_VS_FLEET = 1.7;

  /**
   * A worker slower than this multiple of its own usual pace is unusually slow. Below it, a worker
   * of a slow type has merely run a task that takes longer than others of its kind.
   */
  private static final double MAX_SLOWNESS_VS_USUAL = 1.7;

  private static final double TRIAL_SLOWNESS_VS_USUAL = 1.4;

  /**
   * From this multiple of the fleet's mean on, a worker gets only tasks that will be in time there
   * or cannot be in time anywhere, as most tasks have less time than that to spare.
   */
  private static final double MIN_SLOWNESS_FOR_LATE_CHECK = 1.2;

  private static final double SLOWNESS_PENALTY = 0.5;
  private static final double REMOTE_DATA_PENALTY = 0.6;

  /** Unhealthy workers are excluded only if they are at most this share of their service. */
  private static final double MAX_EXCLUDED_SHARE = 0.4;

  private final WorkerSpeeds speeds;

  WorkerSelector(WorkerSpeeds speeds) {
    this.speeds = speeds;
  }

  /**
   * Returns the best worker for a task; empty if no suitable worker has room.
   *
   * @param excludesUnhealthy whether to exclude slow and failing workers
   */
  Optional<WorkerView> choose(
      OwnedTask task, Collection<HostView> hosts, boolean excludesUnhealthy, long nowMs) {
    WorkerView best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (HostView host : hosts) {
      for (WorkerView worker : host.workers()) {
        if (canPlace(worker, task, excludesUnhealthy, nowMs)) {
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

  /**
   * Returns whether few enough workers of a service are unhealthy for the others to do its work.
   */
  boolean canExcludeUnhealthy(String service, Collection<HostView> hosts, long nowMs) {
    int all = 0;
    int unhealthy = 0;
    for (HostView host : hosts) {
      for (WorkerView worker : host.workers()) {
        if (worker.row().service().equals(service)) {
          all++;
          if (worker.isUnhealthy() || isSlow(worker, nowMs)) {
            unhealthy++;
          }
        }
      }
    }
    return unhealthy <= all * MAX_EXCLUDED_SHARE;
  }

  /** Returns the free share of the CPU of a service's workers that accept runs. */
  double freeShare(String service, Collection<HostView> hosts, long nowMs) {
    double freeMilli = 0;
    double allMilli = 0;
    for (HostView host : hosts) {
      for (WorkerView worker : host.workers()) {
        if (worker.row().service().equals(service) && worker.acceptsRuns(nowMs)) {
          freeMilli += Math.max(0, worker.free().cpuMilli());
          allMilli += worker.row().capacity().cpuMilli();
        }
      }
    }
    return allMilli == 0 ? 0 : freeMilli / allMilli;
  }

  boolean isSlow(WorkerView worker, long nowMs) {
    return isSlower(worker, MAX_SLOWNESS_VS_FLEET, MAX_SLOWNESS_VS_USUAL, nowMs);
  }

  /**
   * Returns whether a worker exceeds both limits. A fast worker that is slower than usual remains
   * useful, and a worker of a slow type is healthy.
   */
  private boolean isSlower(WorkerView worker, double vsFleet, double vsUsual, long nowMs) {
    String workerId = worker.row().workerId();
    return speeds.slownessVsFleet(workerId, nowMs) > vsFleet
        && speeds.slownessVsUsual(workerId, nowMs) > vsUsual;
  }

  /**
   * Returns whether a task can be placed on a worker, that is, whether the worker is eligible, has
   * room and would not make the task late.
   */
  boolean canPlace(WorkerView worker, OwnedTask task, boolean excludesUnhealthy, long nowMs) {
    return isEligible(worker, task, excludesUnhealthy, nowMs)
        && !wouldBeLateOn(worker, task, nowMs);
  }

  /** Returns whether some eligible worker has room for a task but would make it late. */
  boolean waitsForFasterWorker(
      OwnedTask task, Collection<HostView> hosts, boolean excludesUnhealthy, long nowMs) {
    for (HostView host : hosts) {
      for (WorkerView worker : host.workers()) {
        if (wouldBeLateOn(worker, task, nowMs)
            && isEligible(worker, task, excludesUnhealthy, nowMs)) {
          return true;
        }
      }
    }
    return false;
  }

  private boolean isEligible(
      WorkerView worker, OwnedTask task, boolean excludesUnhealthy, long nowMs) {
    StepPlan step = task.plan();
    boolean accepts = worker.acceptsRuns(nowMs) || (!excludesUnhealthy && worker.isUnhealthy());
    if (!accepts || !worker.row().service().equals(task.job().plan().service())) {
      return false;
    }
    if (!Rooms.fits(step.need(), worker.free())) {
      return false;
    }
    // If a worker with two suspects crashed, the cause could not be attributed to either.
    if (task.isSuspect() && worker.hasSuspect()) {
      return false;
    }
    if (!step.requiredLabel().isEmpty() && !worker.row().labels().contains(step.requiredLabel())) {
      return false;
    }
    if (step.maxTasksPerWorker() > 0
        && task.job().countOnWorker(worker.row().workerId(), task.step())
            >= step.maxTasksPerWorker()) {
      return false;
    }
    return !excludesUnhealthy || !(isSlow(worker, nowMs) || isBusyOnTrial(worker, nowMs));
  }

  /** Returns whether a task would be in time on a worker of mean speed but late on this one. */
  private boolean wouldBeLateOn(WorkerView worker, OwnedTask task, long nowMs) {
    double slowness = speeds.slownessVsFleet(worker.row().workerId(), nowMs);
    if (slowness < MIN_SLOWNESS_FOR_LATE_CHECK) {
      return false;
    }
    double meanMs = speeds.expectedMs(task.plan().estimateMs());
    double remainingMs = task.job().objectiveAtMs() - nowMs;
    return meanMs <= remainingMs && meanMs * slowness > remainingMs;
  }

  /**
   * Limits a worker that was slow recently to one run of this owner at a time until it recovers.
   */
  private boolean isBusyOnTrial(WorkerView worker, long nowMs) {
    return worker.activeRuns() > 0
        && isSlower(worker, TRIAL_SLOWNESS_VS_FLEET, TRIAL_SLOWNESS_VS_USUAL, nowMs);
  }

  private double score(WorkerView worker, OwnedTask task, long nowMs) {
    StepPlan step = task.plan();
    double score = worker.shareLeft(step.need());
    score -= SLOWNESS_PENALTY * (speeds.slownessVsFleet(worker.row().workerId(), nowMs) - 1);
    if (!step.preferredLabel().isEmpty()
        && !worker.row().labels().contains(step.preferredLabel())) {
      score -= REMOTE_DATA_PENALTY;
    }
    if (worker.row().workerId().equals(task.avoidedWorkerId())) {
      score -= 2;
    }
    return score;
  }
}
