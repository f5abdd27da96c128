package io.hingehoist.worker;

import io.hingehoist.message.TaskReport;
import io.hingehoist.message.TaskState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What an agent remembers of one job. Owned by its {@link TaskLedger}. */
final class JobLedger {

  /** A task that was started here. */
  record Started(TaskState state, String result, long ranMicros, int grantNumber) {
    static Started running(int grantNumber) {
      return new Started(TaskState.RUNNING, "", 0, grantNumber);
    }
  }

  private final long admittedAtMs;
  private final Map<Integer, Started> started = new HashMap<>();
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

  /** Shuts out lower epochs, for good. A new epoch numbers its grants anew. */
  void raiseEpoch(long newEpoch) {
    if (newEpoch > epoch) {
      epoch = newEpoch;
      revokedGrants.clear();
    }
  }

  long connectionId() {
    return connectionId;
  }

  /** Binds the job to the connection that its reports go to. */
  void bind(long newConnectionId) {
    connectionId = newConnectionId;
  }

  boolean isRetired() {
    return retired;
  }

  /** Notes that the outcome of the job is committed. */
  void retire() {
    retired = true;
  }

  Optional<Started> started(int taskIndex) {
    return Optional.ofNullable(started.get(taskIndex));
  }

  void put(int taskIndex, Started task) {
    started.put(taskIndex, task);
  }

  /** Forgets a start that came to nothing, bars its grant, and returns the grant's number. */
  int forgetStart(int taskIndex) {
    int grantNumber = started.remove(taskIndex).grantNumber();
    revoke(taskIndex, grantNumber);
    return grantNumber;
  }

  /** Makes sure that a grant, and every one before it, never starts the task. */
  void revoke(int taskIndex, int grantNumber) {
    revokedGrants.merge(taskIndex, grantNumber, Math::max);
  }

  boolean isRevoked(int taskIndex, int grantNumber) {
    return revokedGrants.getOrDefault(taskIndex, Integer.MIN_VALUE) >= grantNumber;
  }

  boolean hasStartedTasks() {
    return !started.isEmpty();
  }

  boolean hasRunningTasks() {
    return started.values().stream().anyMatch(task -> task.state() == TaskState.RUNNING);
  }

  List<TaskReport> reports() {
    List<TaskReport> reports = new ArrayList<>();
    started.forEach(
        (index, task) -> reports.add(new TaskReport(index, task.state(), task.result())));
    return reports;
  }
}
