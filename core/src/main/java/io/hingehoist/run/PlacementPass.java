package io.hingehoist.run;

import io.hingehoist.message.Room;
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
      return service.equals(task.job.plan.service())
          && (requires.isEmpty() || requires.equals(step.requires()))
          && Rooms.fits(need, step.need());
    }
  }

  private final WorkerChoice choice;
  private final Collection<HostView> hosts;
  private final long nowMs;
  private final Map<String, Boolean> leavesOutByService = new HashMap<>();
  private final List<Miss> misses = new ArrayList<>();

  PlacementPass(WorkerChoice choice, Collection<HostView> hosts, long nowMs) {
    this.choice = choice;
    this.hosts = hosts;
    this.nowMs = nowMs;
  }

  /** Returns the best worker for a task now; empty if none has room. */
  Optional<WorkerView> choose(OwnedTask task) {
    if (misses.stream().anyMatch(miss -> miss.covers(task))) {
      return Optional.empty();
    }
    Optional<WorkerView> best = choice.choose(task, hosts, leavesOut(task), nowMs);
    if (best.isEmpty()) {
      noteMiss(task);
    }
    return best;
  }

  private boolean leavesOut(OwnedTask task) {
    return leavesOutByService.computeIfAbsent(
        task.job.plan.service(), service -> choice.mayLeaveOut(service, hosts, nowMs));
  }

  /** A task that may not share its worker with others of its step says nothing of other steps. */
  private void noteMiss(OwnedTask task) {
    StepPlan step = task.plan();
    if (step.mostPerWorker() == 0) {
      misses.add(new Miss(task.job.plan.service(), step.requires(), step.need()));
    }
  }
}
