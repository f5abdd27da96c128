package io.hingehoist.run;

/** Static helpers for the names of tasks: job, step and index, separated by dots. */
public final class TaskNames {
  private TaskNames() {}

  /** Returns the name of a task. */
  public static String of(String jobId, int step, int index) {
    return jobId + '.' + step + '.' + index;
  }

  /** Returns the job that a task belongs to. */
  public static String jobIdOf(String task) {
    int dot = task.indexOf('.');
    return dot < 0 ? task : task.substring(0, dot);
  }
}
