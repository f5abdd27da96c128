package io.hingehoist.dispatch;

import io.hingehoist.command.JobOutcome;
import io.hingehoist.message.FenceJob;
import io.hingehoist.message.FenceReport;
import io.hingehoist.message.RetireJobs;
import io.hingehoist.message.RevokeTask;
import io.hingehoist.message.StartTask;
import io.hingehoist.message.TaskFinished;
import io.hingehoist.message.TaskNotStarted;
import io.hingehoist.message.TaskReport;
import io.hingehoist.message.TaskState;
import io.hingehoist.placement.Worker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The jobs that this entry owns.
 *
 * <p>A task is granted to another agent only after the one before said that it was not started.
 * Where an agent's knowledge is lost, a task that it may have started fails its job. Owned by its
 * {@link Dispatcher}.
 */
final class JobDispatch {
  private final Dispatcher dispatcher;
  private final Consumer<DispatchEffect> effects;
  private final Map<Long, JobRun> runs = new LinkedHashMap<>();
  private final Map<Long, Long> endedJobs = new LinkedHashMap<>();
  private final Map<String, List<Long>> toRetire = new HashMap<>();

  JobDispatch(Dispatcher dispatcher, Consumer<DispatchEffect> effects) {
    this.dispatcher = dispatcher;
    this.effects = effects;
  }

  int openCount() {
    return (int) runs.values().stream().filter(JobRun::isOpen).count();
  }

  Optional<JobRun> find(long jobId) {
    return Optional.ofNullable(runs.get(jobId));
  }

  /** Returns the jobs that are open or whose outcome is not committed yet. */
  List<Long> ownedJobIds() {
    return runs.values().stream()
        .filter(run -> !run.isAbandoned())
        .map(run -> run.spec().jobId())
        .toList();
  }

  /** Takes a job that was just admitted. A repeated answer to its admission changes nothing. */
  void admit(JobSpec spec, long firstSequence) {
    if (runs.containsKey(spec.jobId()) || endedJobs.containsKey(spec.jobId())) {
      return;
    }
    JobRun run = JobRun.fresh(spec, firstSequence);
    runs.put(spec.jobId(), run);
    run.tasks().forEach(dispatcher::enqueue);
  }

  /** Takes over a job from an entry that has ended, and shuts that entry out at every agent. */
  void adopt(JobSpec spec, long firstSequence, List<String> lostAgents) {
    JobRun before = runs.get(spec.jobId());
    if (before != null && before.spec().epoch() >= spec.epoch() && !before.isAbandoned()) {
      return;
    }
    if (before != null) {
      releaseGrants(before);
    }
    Map<String, Worker<Work>> workers = dispatcher.pool(spec.service()).workers();
    JobRun run = JobRun.adopted(spec, firstSequence, workers.keySet(), lostAgents);
    runs.put(spec.jobId(), run);
    for (Worker<Work> worker : workers.values()) {
      run.noteAgent(worker.agentId());
      if (worker.isReachable()) {
        fence(run, worker.agentId());
      }
    }
    concludeFencing(run);
  }

  private void releaseGrants(JobRun run) {
    for (TaskWork task : run.tasks()) {
      if (task.stage() == TaskWork.Stage.GRANTED) {
        dispatcher.noteEnded(task.agentId(), task);
      }
    }
  }

  private void fence(JobRun run, String agentId) {
    JobSpec spec = run.spec();
    FenceJob fence = new FenceJob(spec.jobId(), spec.epoch(), spec.admittedAtMs());
    effects.accept(new DispatchEffect.Send(agentId, fence));
  }

  /** Sends a task to a worker. */
  void start(TaskWork task, Worker<Work> worker) {
    JobSpec spec = task.job().spec();
    task.grant(worker.agentId());
    task.job().noteAgent(worker.agentId());
    long timeoutMs = dispatcher.policyOf(task).taskTimeoutMs();
    effects.accept(
        new DispatchEffect.Send(
            worker.agentId(),
            new StartTask(
                spec.jobId(),
                spec.epoch(),
                task.index(),
                task.grantNumber(),
                worker.info().incarnation(),
                spec.admittedAtMs(),
                timeoutMs,
                spec.payloads().get(task.index()))));
  }

  /** Asks after every grant that a lost connection has left open. */
  void onReconnected(Worker<Work> worker) {
    for (Work work : worker.inFlight()) {
      if (work instanceof TaskWork task) {
        JobSpec spec = task.job().spec();
        RevokeTask revoke =
            new RevokeTask(
                spec.jobId(), spec.epoch(), task.index(), task.grantNumber(), spec.admittedAtMs());
        effects.accept(new DispatchEffect.Send(worker.agentId(), revoke));
      }
    }
    for (JobRun run : runs.values()) {
      if (run.awaitsFence(worker.agentId())) {
        fence(run, worker.agentId());
      }
    }
  }

  void onNotStarted(String agentId, TaskNotStarted message) {
    TaskWork task = granted(agentId, message.jobId(), message.taskIndex());
    boolean current =
        task != null
            && task.grantNumber() == message.grantNumber()
            && task.job().spec().epoch() == message.epoch();
    if (!current) {
      return;
    }
    dispatcher.noteEnded(agentId, task);
    task.await();
    forgetIfSettled(task.job());
    if (task.job().isOpen()) {
      dispatcher.enqueue(task);
    }
  }

  void onFinished(String agentId, TaskFinished message) {
    TaskWork task = granted(agentId, message.jobId(), message.taskIndex());
    if (task == null) {
      return;
    }
    dispatcher.noteEnded(agentId, task);
    if (message.ranMicros() > 0) {
      dispatcher.noteServiceTime(agentId, task, message.ranMicros());
    }
    takeEnd(task, message.state(), message.result());
  }

  private void takeEnd(TaskWork task, TaskState state, String result) {
    JobRun run = task.job();
    if (state == TaskState.SUCCEEDED) {
      run.finishTask(task, result);
    } else {
      run.failTask(task, result);
    }
    commitIfEnded(run);
    forgetIfSettled(run);
  }

  private TaskWork granted(String agentId, long jobId, int index) {
    JobRun run = runs.get(jobId);
    if (run == null || !run.hasTask(index)) {
      return null;
    }
    TaskWork task = run.task(index);
    boolean here = task.stage() == TaskWork.Stage.GRANTED && task.agentId().equals(agentId);
    return here ? task : null;
  }

  void onFenceReport(Worker<Work> worker, FenceReport report) {
    JobRun run = runs.get(report.jobId());
    boolean awaited =
        run != null
            && run.spec().epoch() == report.epoch()
            && run.awaitsFence(worker.agentId())
            && report.agentIncarnation() == worker.info().incarnation();
    if (!awaited) {
      return;
    }
    run.fenceAnswered(worker.agentId());
    for (TaskReport task : report.tasks()) {
      if (run.hasTask(task.taskIndex())) {
        takeReport(run.task(task.taskIndex()), worker, task);
      }
    }
    concludeFencing(run);
  }

  private void takeReport(TaskWork task, Worker<Work> worker, TaskReport report) {
    if (report.state() == TaskState.RUNNING) {
      task.grant(worker.agentId());
      dispatcher.noteAdopted(worker, task);
      return;
    }
    takeEnd(task, report.state(), report.result());
  }

  /** Once every agent has reported: starts what never started, or fails what may have. */
  private void concludeFencing(JobRun run) {
    if (run.isFencing() || !run.isOpen()) {
      return;
    }
    for (TaskWork task : run.tasks()) {
      if (task.stage() != TaskWork.Stage.FENCED) {
        continue;
      }
      if (!run.lostAgents().isEmpty()) {
        run.fail(
            "task %d may have run on an agent that ended: %s"
                .formatted(task.index(), String.join(", ", run.lostAgents())));
        break;
      }
      task.await();
      dispatcher.enqueue(task);
    }
    commitIfEnded(run);
  }

  /** Gives up what an ended incarnation of an agent may have started. */
  void onAgentEnded(String agentId, List<Work> inFlight) {
    for (Work work : inFlight) {
      if (work instanceof TaskWork task) {
        task.await();
        task.job()
            .fail("task %d may have run on agent %s, which ended".formatted(task.index(), agentId));
        commitIfEnded(task.job());
        forgetIfSettled(task.job());
      }
    }
    for (JobRun run : List.copyOf(runs.values())) {
      if (run.awaitsFence(agentId)) {
        run.fenceLost(agentId);
        concludeFencing(run);
      }
    }
  }

  void onDeadline(long jobId) {
    JobRun run = runs.get(jobId);
    if (run != null && run.isOpen()) {
      run.fail(
          "the deadline passed with %d of %d tasks finished"
              .formatted(run.finishedCount(), run.tasks().size()));
      commitIfEnded(run);
    }
  }

  private void commitIfEnded(JobRun run) {
    Optional<JobOutcome> outcome = run.takeUncommitted();
    outcome.ifPresent(
        value ->
            effects.accept(
                new DispatchEffect.CommitOutcome(run.spec().jobId(), run.spec().epoch(), value)));
  }

  /** Notes that the outcome stands in the log: agents may drop the results. */
  void onCommitted(long jobId) {
    JobRun run = runs.get(jobId);
    if (run == null) {
      return;
    }
    run.noteCommitted();
    endedJobs.put(jobId, run.spec().admittedAtMs());
    for (String agentId : run.agentIds()) {
      toRetire.computeIfAbsent(agentId, id -> new ArrayList<>()).add(jobId);
    }
    forgetIfSettled(run);
  }

  /** Notes that another entry owns the job now. */
  void onStale(long jobId) {
    JobRun run = runs.get(jobId);
    if (run != null) {
      run.abandon();
      forgetIfSettled(run);
    }
  }

  /** Leaves every job to its next owner, because this entry's incarnation has ended. */
  void abandonAll() {
    for (JobRun run : List.copyOf(runs.values())) {
      run.abandon();
      forgetIfSettled(run);
    }
  }

  private void forgetIfSettled(JobRun run) {
    boolean over = run.isAbandoned() || run.isCommitted();
    if (over && !run.hasGrants()) {
      runs.remove(run.spec().jobId(), run);
    }
  }

  /** Sends the retired jobs collected since the last call to some agents, one message each. */
  void flushRetired(Predicate<String> agentIds) {
    for (String agentId : List.copyOf(toRetire.keySet())) {
      if (agentIds.test(agentId)) {
        RetireJobs retire = new RetireJobs(toRetire.remove(agentId));
        effects.accept(new DispatchEffect.Send(agentId, retire));
      }
    }
  }

  /** Forgets the ended jobs that are too old to be admitted again. */
  void forgetBefore(long floorMs) {
    endedJobs.values().removeIf(admittedAtMs -> admittedAtMs < floorMs);
  }

  /** Returns whether every job has its outcome committed, or is left to another entry. */
  boolean isSettled() {
    return runs.values().stream().allMatch(run -> run.isAbandoned() || run.isCommitted());
  }
}
