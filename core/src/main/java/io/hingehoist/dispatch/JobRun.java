package io.hingehoist.dispatch;

import io.hingehoist.command.JobOutcome;
import io.hingehoist.command.OutcomeStatus;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One job that this entry owns, from its admission to its outcome. Owned by {@link JobDispatch}.
 */
final class JobRun {
  /** A character takes up to three bytes in UTF-8; a frame takes 16 MiB. */
  private static final long MAX_ANSWER_CHARACTERS = 4L * 1024 * 1024;

  private final JobSpec spec;
  private final List<TaskWork> tasks;
  private final Set<String> agentIds = new LinkedHashSet<>();
  private final Set<String> awaitedFences;
  private final Set<String> lostAgents = new LinkedHashSet<>();
  private int unfinished;
  private Optional<JobOutcome> outcome = Optional.empty();
  private boolean abandoned;
  private boolean commitAsked;
  private boolean committed;

  private JobRun(JobSpec spec, long firstSequence, Set<String> awaitedFences) {
    this.spec = spec;
    this.awaitedFences = new LinkedHashSet<>(awaitedFences);
    this.tasks = new ArrayList<>(spec.payloads().size());
    for (int index = 0; index < spec.payloads().size(); index++) {
      tasks.add(new TaskWork(firstSequence + index, this, index));
    }
    this.unfinished = tasks.size();
  }

  /** Creates the run of a job that this entry admitted: none of its tasks was ever granted. */
  static JobRun fresh(JobSpec spec, long firstSequence) {
    return new JobRun(spec, firstSequence, Set.of());
  }

  /** Creates the run of a job that another entry owned: its tasks wait for the agents' reports. */
  static JobRun adopted(
      JobSpec spec, long firstSequence, Set<String> fencedAgents, List<String> lostAgents) {
    JobRun run = new JobRun(spec, firstSequence, fencedAgents);
    run.lostAgents.addAll(lostAgents);
    run.tasks.forEach(TaskWork::hold);
    return run;
  }

  JobSpec spec() {
    return spec;
  }

  List<TaskWork> tasks() {
    return tasks;
  }

  TaskWork task(int index) {
    return tasks.get(index);
  }

  boolean hasTask(int index) {
    return index >= 0 && index < tasks.size();
  }

  /** Returns whether tasks of the job may still start. */
  boolean isOpen() {
    return outcome.isEmpty() && !abandoned;
  }

  boolean isFencing() {
    return !awaitedFences.isEmpty();
  }

  boolean awaitsFence(String agentId) {
    return awaitedFences.contains(agentId);
  }

  void fenceAnswered(String agentId) {
    awaitedFences.remove(agentId);
  }

  void fenceLost(String agentId) {
    awaitedFences.remove(agentId);
    lostAgents.add(agentId);
  }

  Set<String> lostAgents() {
    return lostAgents;
  }

  void noteAgent(String agentId) {
    agentIds.add(agentId);
  }

  /** Returns every agent that was asked to start a task or was fenced. */
  Set<String> agentIds() {
    return agentIds;
  }

  int finishedCount() {
    return tasks.size() - unfinished;
  }

  boolean hasGrants() {
    return tasks.stream().anyMatch(task -> task.stage() == TaskWork.Stage.GRANTED);
  }

  /** Takes the failure of a task in, which fails the job. */
  void failTask(TaskWork task, String reason) {
    if (task.stage() != TaskWork.Stage.DONE) {
      task.finish("");
      unfinished--;
      fail("task " + task.index() + " failed: " + reason);
    }
  }

  /** Takes the result of a task in; the last one completes the job. */
  void finishTask(TaskWork task, String result) {
    if (task.stage() == TaskWork.Stage.DONE) {
      return;
    }
    task.finish(result);
    unfinished--;
    if (unfinished == 0 && isOpen()) {
      complete();
    }
  }

  /** The whole answer is one entry of the log, so it has to fit into one. */
  private void complete() {
    List<String> results = tasks.stream().map(t -> t.result().orElseThrow()).toList();
    long characters = results.stream().mapToLong(String::length).sum();
    if (characters > MAX_ANSWER_CHARACTERS) {
      fail(
          "the results have %d characters together, at most %d fit into an answer"
              .formatted(characters, MAX_ANSWER_CHARACTERS));
      return;
    }
    outcome = Optional.of(new JobOutcome(OutcomeStatus.COMPLETE, "", results));
  }

  /** Gives the job up. None of its waiting tasks starts any more. */
  void fail(String reason) {
    if (isOpen()) {
      outcome = Optional.of(new JobOutcome(OutcomeStatus.FAILED, reason, List.of()));
    }
  }

  /** Leaves the job to its next owner. */
  void abandon() {
    abandoned = true;
  }

  boolean isAbandoned() {
    return abandoned;
  }

  Optional<JobOutcome> outcome() {
    return outcome;
  }

  /** Returns the outcome the first time that there is one to commit. */
  Optional<JobOutcome> takeUncommitted() {
    if (outcome.isEmpty() || commitAsked || abandoned) {
      return Optional.empty();
    }
    commitAsked = true;
    return outcome;
  }

  void noteCommitted() {
    committed = true;
  }

  boolean isCommitted() {
    return committed;
  }
}
