package io.hingehoist.run.owner;

import io.hingehoist.run.JobPlan;
import java.util.ArrayList;
import java.util.List;

/**
 * The state of one job at its owner.
 *
 * <p>Not thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class OwnedJob {
  private final JobPlan plan;
  private final long acceptedAtMs;
  private final long arrivalNumber;
  private final List<List<OwnedTask>> steps = new ArrayList<>();
  private final int[] unfinishedTasks;

  /** The number of orders that were not refused; each of them may have started a task. */
  private int possibleStarts;

  OwnedJob(JobPlan plan, long acceptedAtMs, long arrivalNumber) {
    this.plan = plan;
    this.acceptedAtMs = acceptedAtMs;
    this.arrivalNumber = arrivalNumber;
    this.unfinishedTasks = new int[plan.steps().size()];
    for (int step = 0; step < plan.steps().size(); step++) {
      List<OwnedTask> tasks = new ArrayList<>();
      for (int index = 0; index < plan.steps().get(step).count(); index++) {
        tasks.add(new OwnedTask(this, step, index));
      }
      unfinishedTasks[step] = tasks.size();
      steps.add(tasks);
    }
  }

  JobPlan plan() {
    return plan;
  }

  /** Returns a number that increases with each job that the owner accepts. */
  long arrivalNumber() {
    return arrivalNumber;
  }

  List<OwnedTask> tasksOf(int step) {
    return List.copyOf(steps.get(step));
  }

  List<OwnedTask> tasks() {
    return steps.stream().flatMap(List::stream).toList();
  }

  /** Returns the time since the owner accepted the job. */
  long waitedMs(long nowMs) {
    return nowMs - acceptedAtMs;
  }

  /** Returns the time by which the caller wants the answer. */
  long objectiveAtMs() {
    return acceptedAtMs + plan.objectiveMs();
  }

  boolean mayHaveStarted() {
    return possibleStarts > 0;
  }

  void recordOrder() {
    possibleStarts++;
  }

  /** Records a host's report that an order started nothing. */
  void recordNotStarted() {
    possibleStarts--;
  }

  void recordDone(OwnedTask task) {
    unfinishedTasks[task.step()]--;
  }

  boolean isComplete() {
    for (int count : unfinishedTasks) {
      if (count > 0) {
        return false;
      }
    }
    return true;
  }

  /** Queues the tasks whose preceding steps are now complete, and returns them. */
  List<OwnedTask> unblockTasks() {
    List<OwnedTask> unblocked = new ArrayList<>();
    for (int step = 0; step < steps.size(); step++) {
      if (isUnblocked(step)) {
        for (OwnedTask task : steps.get(step)) {
          if (task.isBlocked()) {
            task.markQueued();
            unblocked.add(task);
          }
        }
      }
    }
    return unblocked;
  }

  private boolean isUnblocked(int step) {
    for (int before : plan.steps().get(step).dependsOn()) {
      if (unfinishedTasks[before] > 0) {
        return false;
      }
    }
    return true;
  }

  long countOnWorker(String workerId, int step) {
    return steps.get(step).stream()
        .filter(task -> task.mayBeRunning() && task.workerId().equals(workerId))
        .count();
  }
}
