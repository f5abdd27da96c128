package io.hingehoist.run;

import io.hingehoist.message.Room;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

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
      return service.equals(task.job.plan.service())
          && (requires.isEmpty() || requires.equals(step.requires()))
          && Rooms.fits(need, step.need());
    }
  }

  private final WorkerChoice choice;
  private final Collection<HostView> followed;
  private final Collection<HostView> all;
  private final long nowMs;
  private final Map<String, Boolean> leavesOutByService = new HashMap<>();
  private final List<Miss> misses = new ArrayList<>();

  /**
   * Begins a pass.
   *
   * @param followed the hosts that get work first: what is known of them is newer
   * @param rest the others, which get what fits nowhere else
   */
  PlacementPass(
      WorkerChoice choice, Collection<HostView> followed, Collection<HostView> rest, long nowMs) {
    this.choice = choice;
    this.followed = followed;
    this.all = rest.isEmpty() ? followed : Stream.concat(followed.stream(), rest.stream()).toList();
    this.nowMs = nowMs;
  }

  /** Returns the best worker for a task now; empty if none has room. */
  Optional<WorkerView> choose(OwnedTask task) {
    if (misses.stream().anyMatch(miss -> miss.covers(task))) {
      return Optional.empty();
    }
    Optional<WorkerView> best = Optional.empty();
    if (task.plan().near().isEmpty()) {
      best = choice.choose(task, followed, leavesOut(task), nowMs);
    }
    if (best.isEmpty() && isWiderThanFollowed(task)) {
      best = choice.choose(task, all, leavesOut(task), nowMs);
    }
    if (best.isEmpty()) {
      noteMiss(task);
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
        task.job.plan.service(), service -> choice.mayLeaveOut(service, all, nowMs));
  }

  /** A task that may not share its worker with others of its step says nothing of other steps. */
  private void noteMiss(OwnedTask task) {
    StepPlan step = task.plan();
    if (step.mostPerWorker() == 0) {
      misses.add(new Miss(task.job.plan.service(), step.requires(), step.need()));
    }
  }
}
