package io.hingehoist.run;

/**
 * Static utility methods for task names, which consist of job id, step and index with dots between.
 */
public final class TaskNames {
  private TaskNames() {}

  /** Returns the name of a task. */
  public static String of(String jobId, int step, int index) {
    return jobId + '.' + step + '.' + index;
  }

  /** Returns the id of the job that a task belongs to. */
  public static String jobIdOf(String task) {
    int dot = task.indexOf('.');
    return dot < 0 ? task : task.substring(0, dot);
  }
}
