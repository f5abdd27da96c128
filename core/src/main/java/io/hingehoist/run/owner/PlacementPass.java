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
 * One pass over the tasks that wait, at one moment.
 *
 * <p>Room only shrinks while a pass gives it out. So what was found to fit nowhere fits nowhere for
 * the rest of the pass, nor does anything that needs as much or more: such tasks are passed over
 * without a look at the workers. Not thread-safe: {@link JobOwner} owns it.
 */
final class PlacementPass {
  private record Miss(String service, String requires, Room need) {
    private boolean covers(OwnedTask task) {
      StepPlan step = task.plan();
      return service.equals(task.job().plan().service())
          && (requires.isEmpty() || requires.equals(step.requires()))
          && Rooms.fits(need, step.need());
    }
  }

  /**
   * The share of a worker that must stay free beside a further task of the same step. With that
   * much a job's tasks stay together, so that fewer jobs meet a worker that does not get on, and
   * fewer orders carry the text of a job.
   */
  private static final double TOGETHER_SPARE_SHARE = 0.15;

  private final WorkerChoice choice;
  private final Collection<HostView> followed;
  private final Collection<HostView> all;
  private final long nowMs;
  private final Map<String, Boolean> leavesOutByService = new HashMap<>();
  private final List<Miss> misses = new ArrayList<>();
  private Optional<OwnedTask> lastPlaced = Optional.empty();
  private Optional<WorkerView> lastChosen = Optional.empty();

  /**
   * Begins a pass.
   *
   * @param followed the hosts that get work first: what is known of them is newer
   * @param all these and the others, which get what fits nowhere else
   */
  PlacementPass(
      WorkerChoice choice, Collection<HostView> followed, Collection<HostView> all, long nowMs) {
    this.choice = choice;
    this.followed = followed;
    this.all = all;
    this.nowMs = nowMs;
  }

  /** Returns the share of the processors of a service's workers that is free by now. */
  double freeShare(String service) {
    return choice.freeShare(service, all, nowMs);
  }

  /** Returns the best worker for a task now; empty if none has room. */
  Optional<WorkerView> choose(OwnedTask task) {
    Optional<WorkerView> beside = lastChosen.filter(worker -> isGoodBeside(worker, task));
    if (beside.isPresent()) {
      return beside;
    }
    if (isMissed(task)) {
      return Optional.empty();
    }
    Optional<WorkerView> best = search(task);
    if (best.isEmpty()) {
      noteMiss(task);
    } else {
      lastPlaced = Optional.of(task);
      lastChosen = best;
    }
    return best;
  }

  private boolean isMissed(OwnedTask task) {
    for (Miss miss : misses) {
      if (miss.covers(task)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a task may go where the last one of its step went, without a search. */
  private boolean isGoodBeside(WorkerView worker, OwnedTask task) {
    return lastPlaced.filter(task::isOfStepOf).isPresent()
        && !task.isSuspect()
        && task.plan().near().isEmpty()
        && !worker.row().workerId().equals(task.avoidedWorkerId())
        && worker.shareLeft(task.plan().need()) >= TOGETHER_SPARE_SHARE
        && choice.isFit(worker, task, leavesOut(task), nowMs);
  }

  private Optional<WorkerView> search(OwnedTask task) {
    Optional<WorkerView> best = Optional.empty();
    if (task.plan().near().isEmpty()) {
      best = choice.choose(task, followed, leavesOut(task), nowMs);
    }
    if (best.isEmpty() && isWiderThanFollowed(task)) {
      best = choice.choose(task, all, leavesOut(task), nowMs);
    }
    return best;
  }

  /** The workers that hold a task's data may be anywhere, so all are looked at for it. */
  private boolean isWiderThanFollowed(OwnedTask task) {
    return all.size() > followed.size() || !task.plan().near().isEmpty();
  }

  /** Returns whether unwell workers get none of a task's kind, as most others are well. */
  boolean leavesOut(OwnedTask task) {
    return leavesOutByService.computeIfAbsent(
        task.job().plan().service(), service -> choice.mayLeaveOut(service, all, nowMs));
  }

  /**
   * A task that may not share its worker with others of its step says nothing of other steps, nor
   * does one under which a worker crashed, nor one that leaves a slow worker's room to those that
   * have more time.
   */
  private void noteMiss(OwnedTask task) {
    StepPlan step = task.plan();
    boolean isLikeOthers = step.maxTasksPerWorker() == 0 && !task.isSuspect();
    if (isLikeOthers && !choice.waitsForFaster(task, all, leavesOut(task), nowMs)) {
      misses.add(new Miss(task.job().plan().service(), step.requires(), step.need()));
    }
  }
}
