package io.hingehoist.dispatch;

import java.util.Optional;

/** A task of a job that this entry owns. Not thread-safe: confined to the dispatch thread. */
final class TaskWork extends Work {

  enum Stage {
    FENCED,
    WAITING,
    GRANTED,
    DONE
  }

  private final ActiveJob job;
  private final int index;
  private Stage stage = Stage.WAITING;
  private int grantNumber;
  private String agentId = "";
  private Optional<String> result = Optional.empty();

  TaskWork(long sequence, ActiveJob job, int index) {
    super(sequence);
    this.job = job;
    this.index = index;
  }

  ActiveJob job() {
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

  void markFenced() {
    stage = Stage.FENCED;
  }

  void markWaiting() {
    stage = Stage.WAITING;
    agentId = "";
  }

  /** Records a grant to an agent, under a grant number that was never used for this task. */
  void markGranted(String newAgentId) {
    stage = Stage.GRANTED;
    agentId = newAgentId;
    grantNumber++;
  }

  void markDone(String newResult) {
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
