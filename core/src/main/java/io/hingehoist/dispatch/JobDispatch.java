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
 * Dispatches the jobs that this entry owns.
 *
 * <p>A task is granted to another agent only after the previous one has reported that it did not
 * start it. If an agent's record of started tasks is lost, every job with a task that the agent may
 * have started fails. Not thread-safe: confined to the dispatch thread.
 */
final class JobDispatch {
  private final Dispatcher dispatcher;
  private final Consumer<DispatchEffect> effects;
  private final Map<Long, ActiveJob> activeJobs = new LinkedHashMap<>();
  private final Map<Long, Long> committedJobs = new LinkedHashMap<>();
  private final Map<String, List<Long>> unsentRetirements = new HashMap<>();

  JobDispatch(Dispatcher dispatcher, Consumer<DispatchEffect> effects) {
    this.dispatcher = dispatcher;
    this.effects = effects;
  }

  int openCount() {
    return (int) activeJobs.values().stream().filter(ActiveJob::isOpen).count();
  }

  Optional<ActiveJob> find(long jobId) {
    return Optional.ofNullable(activeJobs.get(jobId));
  }

  /**
   * Returns the ids of the jobs that are open, not yet committed, or still have tasks in flight.
   */
  List<Long> ownedJobIds() {
    return activeJobs.values().stream()
        .filter(job -> !job.isAbandoned())
        .map(job -> job.spec().jobId())
        .toList();
  }

  /** Enqueues the tasks of a newly admitted job. Ignores a job whose admission is known. */
  void admit(JobSpec spec, long firstSequence) {
    if (activeJobs.containsKey(spec.jobId()) || committedJobs.containsKey(spec.jobId())) {
      return;
    }
    ActiveJob job = ActiveJob.ofAdmitted(spec, firstSequence);
    activeJobs.put(spec.jobId(), job);
    job.tasks().forEach(dispatcher::enqueue);
  }

  /**
   * Adopts a job from an entry that has ended. Fences the job at every agent, so that none of them
   * starts a task for the previous owner.
   */
  void adopt(JobSpec spec, long firstSequence, List<String> lostAgents) {
    ActiveJob previous = activeJobs.get(spec.jobId());
    if (previous != null && previous.spec().epoch() >= spec.epoch() && !previous.isAbandoned()) {
      return;
    }
    if (previous != null) {
      releaseGrants(previous);
    }
    Map<String, Worker<Work>> workers = dispatcher.pool(spec.service()).workers();
    ActiveJob job = ActiveJob.ofAdopted(spec, firstSequence, workers.keySet(), lostAgents);
    activeJobs.put(spec.jobId(), job);
    for (Worker<Work> worker : workers.values()) {
      job.addAgent(worker.agentId());
      if (worker.isReachable()) {
        sendFence(job, worker.agentId());
      }
    }
    finishFencing(job);
  }

  private void releaseGrants(ActiveJob job) {
    for (TaskWork task : job.tasks()) {
      if (task.stage() == TaskWork.Stage.GRANTED) {
        dispatcher.recordEnded(task.agentId(), task);
      }
    }
  }

  private void sendFence(ActiveJob job, String agentId) {
    JobSpec spec = job.spec();
    FenceJob message = new FenceJob(spec.jobId(), spec.epoch(), spec.admittedAtMs());
    effects.accept(new DispatchEffect.Send(agentId, message));
  }

  /** Sends a task to a worker. */
  void start(TaskWork task, Worker<Work> worker) {
    JobSpec spec = task.job().spec();
    task.markGranted(worker.agentId());
    task.job().addAgent(worker.agentId());
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

  /**
   * Revokes every grant that was in flight when the connection was lost, to learn whether its task
   * was started, and resends the fences that have no report yet.
   */
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
    for (ActiveJob job : activeJobs.values()) {
      if (job.awaitsFence(worker.agentId())) {
        sendFence(job, worker.agentId());
      }
    }
  }

  void onNotStarted(String agentId, TaskNotStarted message) {
    TaskWork task = findGranted(agentId, message.jobId(), message.taskIndex());
    boolean current =
        task != null
            && task.grantNumber() == message.grantNumber()
            && task.job().spec().epoch() == message.epoch();
    if (!current) {
      return;
    }
    dispatcher.recordEnded(agentId, task);
    task.markWaiting();
    removeIfSettled(task.job());
    if (task.job().isOpen()) {
      dispatcher.enqueue(task);
    }
  }

  void onFinished(String agentId, TaskFinished message) {
    TaskWork task = findGranted(agentId, message.jobId(), message.taskIndex());
    if (task == null) {
      return;
    }
    dispatcher.recordEnded(agentId, task);
    if (message.ranMicros() > 0) {
      dispatcher.recordServiceTime(agentId, task, message.ranMicros());
    }
    recordTaskEnd(task, message.state(), message.result());
  }

  private void recordTaskEnd(TaskWork task, TaskState state, String result) {
    ActiveJob job = task.job();
    if (state == TaskState.SUCCEEDED) {
      job.recordTaskResult(task, result);
    } else {
      job.recordTaskFailure(task, result);
    }
    commitIfEnded(job);
    removeIfSettled(job);
  }

  private TaskWork findGranted(String agentId, long jobId, int index) {
    ActiveJob job = activeJobs.get(jobId);
    if (job == null || !job.hasTask(index)) {
      return null;
    }
    TaskWork task = job.task(index);
    boolean grantedHere = task.stage() == TaskWork.Stage.GRANTED && task.agentId().equals(agentId);
    return grantedHere ? task : null;
  }

  void onFenceReport(Worker<Work> worker, FenceReport report) {
    ActiveJob job = activeJobs.get(report.jobId());
    boolean awaited =
        job != null
            && job.spec().epoch() == report.epoch()
            && job.awaitsFence(worker.agentId())
            && report.agentIncarnation() == worker.info().incarnation();
    if (!awaited) {
      return;
    }
    job.recordFenceReport(worker.agentId());
    for (TaskReport task : report.tasks()) {
      if (job.hasTask(task.taskIndex())) {
        applyReport(job.task(task.taskIndex()), worker, task);
      }
    }
    finishFencing(job);
  }

  private void applyReport(TaskWork task, Worker<Work> worker, TaskReport report) {
    if (report.state() == TaskState.RUNNING) {
      task.markGranted(worker.agentId());
      dispatcher.recordAdopted(worker, task);
      return;
    }
    recordTaskEnd(task, report.state(), report.result());
  }

  /**
   * Once every agent has reported or ended, enqueues the tasks that no agent has started. Fails the
   * job instead if an ended agent may have started one of them.
   */
  private void finishFencing(ActiveJob job) {
    if (job.isFencing() || !job.isOpen()) {
      return;
    }
    for (TaskWork task : job.tasks()) {
      if (task.stage() != TaskWork.Stage.FENCED) {
        continue;
      }
      if (!job.lostAgents().isEmpty()) {
        job.fail(
            "task %d may have run on an agent that ended: %s"
                .formatted(task.index(), String.join(", ", job.lostAgents())));
        break;
      }
      task.markWaiting();
      dispatcher.enqueue(task);
    }
    commitIfEnded(job);
  }

  /** Fails the jobs with tasks that an ended incarnation of an agent may have started. */
  void onAgentEnded(String agentId, List<Work> inFlight) {
    for (Work work : inFlight) {
      if (work instanceof TaskWork task) {
        task.markWaiting();
        task.job()
            .fail("task %d may have run on agent %s, which ended".formatted(task.index(), agentId));
        commitIfEnded(task.job());
        removeIfSettled(task.job());
      }
    }
    for (ActiveJob job : List.copyOf(activeJobs.values())) {
      if (job.awaitsFence(agentId)) {
        job.recordFenceLost(agentId);
        finishFencing(job);
      }
    }
  }

  void onDeadline(long jobId) {
    ActiveJob job = activeJobs.get(jobId);
    if (job != null && job.isOpen()) {
      job.fail(
          "the deadline passed with %d of %d tasks finished"
              .formatted(job.finishedCount(), job.tasks().size()));
      commitIfEnded(job);
    }
  }

  private void commitIfEnded(ActiveJob job) {
    Optional<JobOutcome> outcome = job.pollOutcome();
    outcome.ifPresent(
        value ->
            effects.accept(
                new DispatchEffect.CommitOutcome(job.spec().jobId(), job.spec().epoch(), value)));
  }

  /** Handles the commit of a job's outcome, after which agents may drop the results. */
  void onCommitted(long jobId) {
    ActiveJob job = activeJobs.get(jobId);
    if (job == null) {
      return;
    }
    job.markCommitted();
    committedJobs.put(jobId, job.spec().admittedAtMs());
    for (String agentId : job.agentIds()) {
      unsentRetirements.computeIfAbsent(agentId, id -> new ArrayList<>()).add(jobId);
    }
    removeIfSettled(job);
  }

  /** Stops work on a job that another entry owns now. */
  void onStale(long jobId) {
    ActiveJob job = activeJobs.get(jobId);
    if (job != null) {
      job.abandon();
      removeIfSettled(job);
    }
  }

  /** Leaves every job to its next owner, because this entry's incarnation has ended. */
  void abandonAll() {
    for (ActiveJob job : List.copyOf(activeJobs.values())) {
      job.abandon();
      removeIfSettled(job);
    }
  }

  private void removeIfSettled(ActiveJob job) {
    boolean settled = job.isAbandoned() || job.isCommitted();
    if (settled && !job.hasGrants()) {
      activeJobs.remove(job.spec().jobId(), job);
    }
  }

  /** Sends each matching agent the jobs that were retired since its last message. */
  void sendRetirements(Predicate<String> agentIds) {
    for (String agentId : List.copyOf(unsentRetirements.keySet())) {
      if (agentIds.test(agentId)) {
        RetireJobs retire = new RetireJobs(unsentRetirements.remove(agentId));
        effects.accept(new DispatchEffect.Send(agentId, retire));
      }
    }
  }

  /** Removes the committed jobs that are too old to be admitted again. */
  void removeAdmittedBefore(long floorMs) {
    committedJobs.values().removeIf(admittedAtMs -> admittedAtMs < floorMs);
  }

  /** Returns whether the outcome of every job is committed or left to another entry. */
  boolean isSettled() {
    return activeJobs.values().stream().allMatch(job -> job.isAbandoned() || job.isCommitted());
  }
}
