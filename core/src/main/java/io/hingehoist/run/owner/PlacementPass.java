package io.hingehoist.run.owner;

import io.hingehoist.message.Room;
import io.hingehoist.run.Rooms;
import io.hingehoist.run.StepPlan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One pass over the waiting tasks, at one point in time.
 *
 * <p>Free room can only shrink during a pass. A task that fitted nowhere therefore fits nowhere for
 * the rest of the pass, and neither does any task that needs at least as much, so such tasks are
 * skipped without a search of the workers. Not thread-safe: confined to the thread of its {@link
 * JobOwner}.
 */
final class PlacementPass {
  /** The requirements of a task for which a search found no worker. */
  private record Unplaceable(String service, String requiredLabel, Room need) {
    private boolean covers(OwnedTask task) {
      StepPlan step = task.plan();
      return service.equals(task.job().plan().service())
          && (requiredLabel.isEmpty() || requiredLabel.equals(step.requiredLabel()))
          && Rooms.fits(need, step.need());
    }
  }

  /**
   * The share of a worker that must remain free if a further task of the same step joins the last
   * one there. Keeping the tasks of a job together exposes fewer jobs to a worker that is slow or
   * stalled, and the specification of a job is sent in fewer orders.
   */
  private static final double MIN_FREE_SHARE_TO_JOIN = 0.15;

  private final WorkerSelector selector;
  private final Collection<HostView> followed;
  private final Collection<HostView> all;
  private final long nowMs;
  private final Map<String, Boolean> excludesUnhealthyByService = new HashMap<>();
  private final List<Unplaceable> unplaceable = new ArrayList<>();
  private Optional<OwnedTask> lastPlaced = Optional.empty();
  private Optional<WorkerView> lastWorker = Optional.empty();

  /**
   * Begins a pass.
   *
   * @param followed the hosts that get work first, as their state is more recent
   * @param all all hosts; those that are not followed get the tasks that fit on no followed host
   */
  PlacementPass(
      WorkerSelector selector,
      Collection<HostView> followed,
      Collection<HostView> all,
      long nowMs) {
    this.selector = selector;
    this.followed = followed;
    this.all = all;
    this.nowMs = nowMs;
  }

  /** Returns the free share of the CPU of a service's workers that accept runs. */
  double freeShare(String service) {
    return selector.freeShare(service, all, nowMs);
  }

  /** Returns the best worker for a task; empty if no suitable worker has room. */
  Optional<WorkerView> choose(OwnedTask task) {
    Optional<WorkerView> joined = lastWorker.filter(worker -> canJoinLastWorker(worker, task));
    if (joined.isPresent()) {
      return joined;
    }
    if (isKnownUnplaceable(task)) {
      return Optional.empty();
    }
    Optional<WorkerView> best = search(task);
    if (best.isEmpty()) {
      recordUnplaceable(task);
    } else {
      lastPlaced = Optional.of(task);
      lastWorker = best;
    }
    return best;
  }

  private boolean isKnownUnplaceable(OwnedTask task) {
    for (Unplaceable known : unplaceable) {
      if (known.covers(task)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a task may join the last placed task of its step without a search. */
  private boolean canJoinLastWorker(WorkerView worker, OwnedTask task) {
    return lastPlaced.filter(task::isInSameStepAs).isPresent()
        && !task.isSuspect()
        && task.plan().preferredLabel().isEmpty()
        && !worker.row().workerId().equals(task.avoidedWorkerId())
        && worker.shareLeft(task.plan().need()) >= MIN_FREE_SHARE_TO_JOIN
        && selector.canPlace(worker, task, excludesUnhealthy(task), nowMs);
  }

  private Optional<WorkerView> search(OwnedTask task) {
    Optional<WorkerView> best = Optional.empty();
    if (task.plan().preferredLabel().isEmpty()) {
      best = selector.choose(task, followed, excludesUnhealthy(task), nowMs);
    }
    if (best.isEmpty() && mustSearchAll(task)) {
      best = selector.choose(task, all, excludesUnhealthy(task), nowMs);
    }
    return best;
  }

  /**
   * Returns whether to search all hosts, since the workers that hold a task's data may be anywhere.
   */
  private boolean mustSearchAll(OwnedTask task) {
    return all.size() > followed.size() || !task.plan().preferredLabel().isEmpty();
  }

  /** Returns whether slow and failing workers are excluded for a task's service. */
  boolean excludesUnhealthy(OwnedTask task) {
    return excludesUnhealthyByService.computeIfAbsent(
        task.job().plan().service(), service -> selector.canExcludeUnhealthy(service, all, nowMs));
  }

  /**
   * Records a failed search, unless its cause applies to the task alone: a limit on the tasks of
   * its step per worker, its isolation as a suspect of crashes, or a deadline that a slow worker
   * with room would miss.
   */
  private void recordUnplaceable(OwnedTask task) {
    StepPlan step = task.plan();
    boolean isUnrestricted = step.maxTasksPerWorker() == 0 && !task.isSuspect();
    if (isUnrestricted
        && !selector.waitsForFasterWorker(task, all, excludesUnhealthy(task), nowMs)) {
      unplaceable.add(
          new Unplaceable(task.job().plan().service(), step.requiredLabel(), step.need()));
    }
  }
}
