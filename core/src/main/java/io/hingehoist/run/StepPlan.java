package io.hingehoist.run;

import io.hingehoist.message.Room;
import java.util.List;

/**
 * One step of a job: tasks that need the same.
 *
 * @param count the number of tasks, at least 1
 * @param need what each task takes while it runs
 * @param estimateMs a rough guess of the time that a task runs
 * @param after the steps, counted from 0, that must be done before
 * @param requires a label that the worker must have; empty for none
 * @param near a label of the workers that hold the data; empty for none
 * @param maxTasksPerWorker the most tasks of the step on one worker; 0 for no limit
 */
public record StepPlan(
    int count,
    Room need,
    long estimateMs,
    List<Integer> dependsOn,
    String requires,
    String near,
    int maxTasksPerWorker) {

  /** Copies the list and checks the count. */
  public StepPlan {
    dependsOn = List.copyOf(dependsOn);
    if (count < 1) {
      throw new IllegalArgumentException("count " + count + " must be at least 1");
    }
  }

  /** Returns a step without conditions. */
  public static StepPlan of(int count, Room need, long estimateMs) {
    return new StepPlan(count, need, estimateMs, List.of(), "", "", 0);
  }
}
