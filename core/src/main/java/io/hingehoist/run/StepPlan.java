package io.hingehoist.run;

import io.hingehoist.message.Room;
import java.util.List;

/**
 * One step of a job, whose tasks have the same requirements.
 *
 * @param count the number of tasks, at least 1
 * @param need the room that each task occupies while it runs
 * @param estimateMs a rough estimate of the run time of a task
 * @param dependsOn the indices, from 0, of the steps that must be complete before this one starts
 * @param requiredLabel a label that the worker must have; empty for none
 * @param preferredLabel a label of the workers that hold the task's data; empty for none
 * @param maxTasksPerWorker the maximum number of tasks of the step on one worker; 0 for no limit
 */
public record StepPlan(
    int count,
    Room need,
    long estimateMs,
    List<Integer> dependsOn,
    String requiredLabel,
    String preferredLabel,
    int maxTasksPerWorker) {

  /** Copies the list of dependencies and checks the count. */
  public StepPlan {
    dependsOn = List.copyOf(dependsOn);
    if (count < 1) {
      throw new IllegalArgumentException("count " + count + " must be at least 1");
    }
  }

  /** Returns a step without dependencies and placement constraints. */
  public static StepPlan of(int count, Room need, long estimateMs) {
    return new StepPlan(count, need, estimateMs, List.of(), "", "", 0);
  }
}
