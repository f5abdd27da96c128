package io.hingehoist.dispatch;

import io.hingehoist.command.JobOutcome;
import io.hingehoist.command.OutcomeStatus;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks a job that this entry owns, from its admission to its outcome. Not thread-safe: confined
 * to the dispatch thread.
 */
final class ActiveJob {
  /** A character takes up to three bytes in UTF-8, and a frame holds up to 16 MiB. */
  private static final long MAX_RESULT_CHARACTERS = 4L * 1024 * 1024;

  private final JobSpec spec;
  private final List<TaskWork> tasks;
  private final Set<String> agentIds = new LinkedHashSet<>();
  private final Set<String> awaitedFences;
  private final Set<String> lostAgents = new LinkedHashSet<>();
  private int unfinished;
  private Optional<JobOutcome> outcome = Optional.empty();
  private boolean abandoned;
  private boolean commitRequested;
  private boolean committed;

  private ActiveJob(JobSpec spec, long firstSequence, Set<String> awaitedFences) {
    this.spec = spec;
    this.awaitedFences = new LinkedHashSet<>(awaitedFences);
    this.tasks = new ArrayList<>(spec.payloads().size());
    for (int index = 0; index < spec.payloads().size(); index++) {
      tasks.add(new TaskWork(firstSequence + index, this, index));
    }
    this.unfinished = tasks.size();
  }

  /** Returns a job that this entry admitted, none of whose tasks was ever granted. */
  static ActiveJob ofAdmitted(JobSpec spec, long firstSequence) {
    return new ActiveJob(spec, firstSequence, Set.of());
  }

  /** Returns a job that another entry owned, whose tasks wait for the agents' fence reports. */
  static ActiveJob ofAdopted(
      JobSpec spec, long firstSequence, Set<String> fencedAgents, List<String> lostAgents) {
    ActiveJob job = new ActiveJob(spec, firstSequence, fencedAgents);
    job.lostAgents.addAll(lostAgents);
    job.tasks.forEach(TaskWork::markFenced);
    return job;
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

  void recordFenceReport(String agentId) {
    awaitedFences.remove(agentId);
  }

  void recordFenceLost(String agentId) {
    awaitedFences.remove(agentId);
    lostAgents.add(agentId);
  }

  Set<String> lostAgents() {
    return lostAgents;
  }

  void addAgent(String agentId) {
    agentIds.add(agentId);
  }

  /** Returns every agent that was granted a task of the job or asked to fence it. */
  Set<String> agentIds() {
    return agentIds;
  }

  int finishedCount() {
    return tasks.size() - unfinished;
  }

  boolean hasGrants() {
    return tasks.stream().anyMatch(task -> task.stage() == TaskWork.Stage.GRANTED);
  }

  /** Records the failure of a task, which fails the job. */
  void recordTaskFailure(TaskWork task, String reason) {
    if (task.stage() != TaskWork.Stage.DONE) {
      task.markDone("");
      unfinished--;
      fail("task " + task.index() + " failed: " + reason);
    }
  }

  /** Records the result of a task. The last one completes the job. */
  void recordTaskResult(TaskWork task, String result) {
    if (task.stage() == TaskWork.Stage.DONE) {
      return;
    }
    task.markDone(result);
    unfinished--;
    if (unfinished == 0 && isOpen()) {
      complete();
    }
  }

  /** Fails the job if its results together do not fit into one entry of the log. */
  private void complete() {
    List<String> results = tasks.stream().map(t -> t.result().orElseThrow()).toList();
    long characterCount = results.stream().mapToLong(String::length).sum();
    if (characterCount > MAX_RESULT_CHARACTERS) {
      fail(
          "the results have %d characters together, at most %d fit into an answer"
              .formatted(characterCount, MAX_RESULT_CHARACTERS));
      return;
    }
    outcome = Optional.of(new JobOutcome(OutcomeStatus.COMPLETE, "", results));
  }

  /** Fails the job unless it has ended. None of its waiting tasks is started afterwards. */
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

  /** Returns the outcome on the first call after the job has ended; otherwise empty. */
  Optional<JobOutcome> pollOutcome() {
    if (outcome.isEmpty() || commitRequested || abandoned) {
      return Optional.empty();
    }
    commitRequested = true;
    return outcome;
  }

  void markCommitted() {
    committed = true;
  }

  boolean isCommitted() {
    return committed;
  }
}
