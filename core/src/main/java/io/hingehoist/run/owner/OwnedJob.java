package io.hingehoist.run.owner;

import io.hingehoist.run.JobPlan;
import java.util.ArrayList;
import java.util.List;

/** One job, as its owner sees it. Owned by {@link JobOwner}. */
final class OwnedJob {
  private final JobPlan plan;
  private final long takenAtMs;
  private final long number;
  private final List<List<OwnedTask>> steps = new ArrayList<>();
  private final int[] openTasks;

  /** Orders that were not refused: each may have started a task. */
  private int possibleStarts;

  OwnedJob(JobPlan plan, long takenAtMs, long number) {
    this.plan = plan;
    this.takenAtMs = takenAtMs;
    this.number = number;
    this.openTasks = new int[plan.steps().size()];
    for (int step = 0; step < plan.steps().size(); step++) {
      List<OwnedTask> tasks = new ArrayList<>();
      for (int index = 0; index < plan.steps().get(step).count(); index++) {
        tasks.add(new OwnedTask(this, step, index));
      }
      openTasks[step] = tasks.size();
      steps.add(tasks);
    }
  }

  JobPlan plan() {
    return plan;
  }

  /** Returns a number that rises with each job that an owner takes. */
  long number() {
    return number;
  }

  List<OwnedTask> tasksOf(int step) {
    return List.copyOf(steps.get(step));
  }

  List<OwnedTask> tasks() {
    return steps.stream().flatMap(List::stream).toList();
  }

  /** Returns the time since its owner took it. */
  long waitedMs(long nowMs) {
    return nowMs - takenAtMs;
  }

  /** Returns the end of the time in which the caller hopes for the answer. */
  long objectiveAtMs() {
    return takenAtMs + plan.objectiveMs();
  }

  boolean mayHaveStarted() {
    return possibleStarts > 0;
  }

  void noteOrdered() {
    possibleStarts++;
  }

  /** Notes that the host said of an order that nothing was started. */
  void noteNotStarted() {
    possibleStarts--;
  }

  void noteDone(OwnedTask task) {
    openTasks[task.step()]--;
  }

  boolean isComplete() {
    for (int open : openTasks) {
      if (open > 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns the tasks that nothing holds back any more and that were not free before. */
  List<OwnedTask> takeFreed() {
    List<OwnedTask> freed = new ArrayList<>();
    for (int step = 0; step < steps.size(); step++) {
      if (isFree(step)) {
        for (OwnedTask task : steps.get(step)) {
          if (task.isBlocked()) {
            task.noteQueued();
            freed.add(task);
          }
        }
      }
    }
    return freed;
  }

  private boolean isFree(int step) {
    for (int before : plan.steps().get(step).dependsOn()) {
      if (openTasks[before] > 0) {
        return false;
      }
    }
    return true;
  }

  long countOn(String workerId, int step) {
    return steps.get(step).stream()
        .filter(task -> task.mayBeRunning() && task.workerId().equals(workerId))
        .count();
  }
}
