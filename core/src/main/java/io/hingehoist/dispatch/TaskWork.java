package io.hingehoist.dispatch;

import java.util.Optional;

/** One task of a job that this entry owns. Owned by its {@link JobRun}. */
final class TaskWork extends Work {

  enum Stage {
    FENCED,
    WAITING,
    GRANTED,
    DONE
  }

  private final JobRun job;
  private final int index;
  private Stage stage = Stage.WAITING;
  private int grantNumber;
  private String agentId = "";
  private Optional<String> result = Optional.empty();

  TaskWork(long sequence, JobRun job, int index) {
    super(sequence);
    this.job = job;
    this.index = index;
  }

  JobRun job() {
    return job;
  }

  int index() {
    return index;
  }

  Stage stage() {
    return stage;
  }

  int grantNumber() {
    return grantNumber;
  }

  String agentId() {
    return agentId;
  }

  Optional<String> result() {
    return result;
  }

  void hold() {
    stage = Stage.FENCED;
  }

  void await() {
    stage = Stage.WAITING;
    agentId = "";
  }

  /** Notes a new grant, which no agent has seen before. */
  void grant(String newAgentId) {
    stage = Stage.GRANTED;
    agentId = newAgentId;
    grantNumber++;
  }

  void finish(String newResult) {
    stage = Stage.DONE;
    result = Optional.of(newResult);
  }

  @Override
  String service() {
    return job.spec().service();
  }

  @Override
  String jobClass() {
    return job.spec().jobClass();
  }

  @Override
  String team() {
    return job.spec().team();
  }

  @Override
  long deadlineMs() {
    return job.spec().deadlineMs();
  }

  @Override
  boolean isWaiting() {
    return stage == Stage.WAITING && job.isOpen();
  }
}
