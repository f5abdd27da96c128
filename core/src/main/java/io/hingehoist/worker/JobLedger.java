package io.hingehoist.worker;

import io.hingehoist.message.TaskReport;
import io.hingehoist.message.TaskState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An agent's record of one job: the tasks that it started and the grants that it must not start.
 * Not thread-safe: confined to the agent's control thread.
 */
final class JobLedger {

  /** A task that this agent started. */
  record StartedTask(TaskState state, String result, long ranMicros, int grantNumber) {
    static StartedTask running(int grantNumber) {
      return new StartedTask(TaskState.RUNNING, "", 0, grantNumber);
    }
  }

  private final long admittedAtMs;
  private final Map<Integer, StartedTask> startedTasks = new HashMap<>();
  private final Map<Integer, Integer> revokedGrants = new HashMap<>();
  private long epoch;
  private long connectionId;
  private boolean retired;

  JobLedger(long admittedAtMs) {
    this.admittedAtMs = admittedAtMs;
  }

  long admittedAtMs() {
    return admittedAtMs;
  }

  long epoch() {
    return epoch;
  }

  /**
   * Raises the epoch; grants of lower epochs are refused from then on. Clears the revoked grants,
   * because each epoch numbers its grants independently.
   */
  void raiseEpoch(long newEpoch) {
    if (newEpoch > epoch) {
      epoch = newEpoch;
      revokedGrants.clear();
    }
  }

  long connectionId() {
    return connectionId;
  }

  /** Sets the connection on which the job's tasks are reported. */
  void bindConnection(long newConnectionId) {
    connectionId = newConnectionId;
  }

  boolean isRetired() {
    return retired;
  }

  /** Records that the outcome of the job is committed. */
  void markRetired() {
    retired = true;
  }

  Optional<StartedTask> startedTask(int taskIndex) {
    return Optional.ofNullable(startedTasks.get(taskIndex));
  }

  void putTask(int taskIndex, StartedTask task) {
    startedTasks.put(taskIndex, task);
  }

  /** Removes a start that did not happen, revokes its grant, and returns the grant's number. */
  int undoStart(int taskIndex) {
    int grantNumber = startedTasks.remove(taskIndex).grantNumber();
    revoke(taskIndex, grantNumber);
    return grantNumber;
  }

  /** Revokes a grant and all earlier ones of the task, so that none of them ever starts it. */
  void revoke(int taskIndex, int grantNumber) {
    revokedGrants.merge(taskIndex, grantNumber, Math::max);
  }

  boolean isRevoked(int taskIndex, int grantNumber) {
    return revokedGrants.getOrDefault(taskIndex, Integer.MIN_VALUE) >= grantNumber;
  }

  boolean hasStartedTasks() {
    return !startedTasks.isEmpty();
  }

  boolean hasRunningTasks() {
    return startedTasks.values().stream().anyMatch(task -> task.state() == TaskState.RUNNING);
  }

  List<TaskReport> reports() {
    List<TaskReport> reports = new ArrayList<>();
    startedTasks.forEach(
        (index, task) -> reports.add(new TaskReport(index, task.state(), task.result())));
    return reports;
  }
}
