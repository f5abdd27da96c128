package io.hingehoist.run;

import java.util.ArrayList;
import java.util.List;

/** One job, as its owner sees it. Owned by {@link JobOwner}. */
final class OwnedJob {
  final JobPlan plan;
  final long takenAtMs;
  final long number;
  final List<List<OwnedTask>> steps = new ArrayList<>();
  private final int[] openTasks;

  /** Orders that were not refused: each may have started a task. */
  int possibleStarts;

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

  boolean mayHaveStarted() {
    return possibleStarts > 0;
  }

  void noteDone(OwnedTask task) {
    openTasks[task.step]--;
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
          if (task.state == OwnedTask.State.BLOCKED) {
            task.state = OwnedTask.State.QUEUED;
            freed.add(task);
          }
        }
      }
    }
    return freed;
  }

  private boolean isFree(int step) {
    for (int before : plan.steps().get(step).after()) {
      if (openTasks[before] > 0) {
        return false;
      }
    }
    return true;
  }

  long countOn(String workerId, int step) {
    return steps.get(step).stream()
        .filter(task -> task.mayBeRunning() && task.workerId.equals(workerId))
        .count();
  }
}
