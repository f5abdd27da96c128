package io.hingehoist.worker;

import io.hingehoist.message.AgentStatus;
import io.hingehoist.message.CreditDemand;
import io.hingehoist.message.CreditGrant;
import io.hingehoist.message.CreditRecall;
import io.hingehoist.message.CreditReturn;
import io.hingehoist.message.FenceJob;
import io.hingehoist.message.FenceReport;
import io.hingehoist.message.Message;
import io.hingehoist.message.NotStartedReason;
import io.hingehoist.message.RetireJobs;
import io.hingehoist.message.RevokeTask;
import io.hingehoist.message.RunRefused;
import io.hingehoist.message.RunRequest;
import io.hingehoist.message.RunResponse;
import io.hingehoist.message.StartTask;
import io.hingehoist.message.TaskFinished;
import io.hingehoist.message.TaskNotStarted;
import io.hingehoist.message.TaskRunning;
import io.hingehoist.message.TaskState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.IntFunction;

/**
 * Decides which tasks and requests an agent starts, and records the started tasks so that none
 * starts twice.
 *
 * <p>A task starts at most once in an incarnation of the agent. The records are kept until the job
 * is older than the retention; from then on grants for it are refused because of its age. A grant
 * that was answered with "not started" can never start its task later. Times are milliseconds of a
 * monotonic clock, except {@code admittedAtMs} and the floor, which are of the replicated clock.
 * Not thread-safe: confined to the agent's control thread.
 */
public final class TaskLedger {
  private final String agentId;
  private final SlotAllocator slots;
  private final Map<Long, JobLedger> jobs = new HashMap<>();
  private final Map<Long, Long> retiredJobs = new HashMap<>();
  private final Map<RunKey, Long> slotOwners = new HashMap<>();
  private final List<LedgerEffect> effects = new ArrayList<>();
  private long incarnation;
  private long leaseExpiresAtMs = Long.MIN_VALUE;
  private long floorMs;
  private boolean draining;

  private TaskLedger(String agentId, long incarnation, int slots) {
    this.agentId = agentId;
    this.incarnation = incarnation;
    this.slots = new SlotAllocator(slots);
  }

  /** Returns an empty ledger, which starts nothing before it has a lease. */
  public static TaskLedger create(String agentId, long incarnation, int slots) {
    if (slots < 1) {
      throw new IllegalArgumentException("slots " + slots + " must be at least 1");
    }
    return new TaskLedger(agentId, incarnation, slots);
  }

  /** Returns the agent's current incarnation. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the number of running tasks and requests. */
  public int runningCount() {
    return slots.runningCount();
  }

  /** Returns whether the agent refuses new work. */
  public boolean isDraining() {
    return draining;
  }

  /** Returns the number of recorded jobs, including the retired ones. */
  public int rememberedJobs() {
    return jobs.size() + retiredJobs.size();
  }

  /** Returns whether nothing runs and every job with tasks started here is retired. */
  public boolean isSettled() {
    boolean anyUnretired =
        jobs.values().stream().anyMatch(job -> job.hasStartedTasks() && !job.isRetired());
    return slots.runningCount() == 0 && !anyUnretired;
  }

  /**
   * Switches to a new incarnation after the control replicas have ended the old one. The records of
   * started tasks are kept; grants to the old incarnation are refused from now on.
   */
  public void renewIncarnation(long newIncarnation) {
    if (newIncarnation <= incarnation) {
      throw new IllegalArgumentException(
          "incarnation " + newIncarnation + " must be greater than " + incarnation);
    }
    incarnation = newIncarnation;
  }

  /**
   * Extends the lease, during which new work may start, and removes the records of jobs that were
   * admitted before the floor and have no running tasks.
   *
   * @param expiresAtMs the end of the lease
   * @param newFloorMs the earliest time of admission of which records are kept
   */
  public void onLease(long expiresAtMs, long newFloorMs) {
    leaseExpiresAtMs = Math.max(leaseExpiresAtMs, expiresAtMs);
    if (newFloorMs > floorMs) {
      floorMs = newFloorMs;
      jobs.values().removeIf(job -> job.admittedAtMs() < floorMs && !job.hasRunningTasks());
      retiredJobs.values().removeIf(admittedAtMs -> admittedAtMs < floorMs);
    }
  }

  /** Drops the lease, which may have expired while this box was asleep. */
  public void dropLease() {
    leaseExpiresAtMs = Long.MIN_VALUE;
  }

  /** Returns whether the agent has a valid lease. */
  public boolean hasLease(long nowMs) {
    return nowMs < leaseExpiresAtMs;
  }

  /** Sets whether the agent refuses new work. */
  public void setDraining(boolean newDraining) {
    draining = newDraining;
  }

  /** Returns the status to send to an entry on a new connection or after a change. */
  public AgentStatus statusFor(long connectionId) {
    return new AgentStatus(
        agentId, incarnation, draining, slots.slots(), slots.busyForOthers(connectionId));
  }

  /** Handles the loss of a connection, whose credits go to the other connections. */
  public List<LedgerEffect> onDisconnected(long connectionId) {
    slots.remove(connectionId);
    distributeCredits(OptionalLong.empty(), credits -> null);
    return drainEffects();
  }

  /** Handles a message from an entry. */
  public List<LedgerEffect> onMessage(long connectionId, Message message, long nowMs) {
    switch (message) {
      case StartTask start -> onStartTask(connectionId, start, nowMs);
      case RevokeTask revoke -> onRevokeTask(connectionId, revoke);
      case FenceJob fence -> onFenceJob(connectionId, fence);
      case RetireJobs retire -> onRetireJobs(retire);
      case RunRequest run -> onRunRequest(connectionId, run, nowMs);
      case CreditDemand demand -> onCreditDemand(connectionId, demand);
      case CreditReturn returned -> onCreditReturn(connectionId, returned);
      default -> throw new IllegalArgumentException("unexpected message from an entry: " + message);
    }
    return drainEffects();
  }

  private void onStartTask(long connectionId, StartTask start, long nowMs) {
    Optional<NotStartedReason> jobRefusal = refusalByJob(start);
    if (jobRefusal.isPresent()) {
      refuse(connectionId, start, jobRefusal.get());
      return;
    }
    JobLedger job = jobs.computeIfAbsent(start.jobId(), id -> new JobLedger(start.admittedAtMs()));
    job.raiseEpoch(start.epoch());
    job.bindConnection(connectionId);
    Optional<JobLedger.StartedTask> known = job.startedTask(start.taskIndex());
    if (known.isPresent()) {
      report(connectionId, start.jobId(), start.taskIndex(), known.get());
      return;
    }
    Optional<NotStartedReason> refusal = refusalOfStart(connectionId, job, start, nowMs);
    if (refusal.isPresent()) {
      job.revoke(start.taskIndex(), start.grantNumber());
      refuse(connectionId, start, refusal.get());
      return;
    }
    job.putTask(start.taskIndex(), JobLedger.StartedTask.running(start.grantNumber()));
    RunKey key = new RunKey.JobTask(start.jobId(), start.taskIndex());
    startRun(connectionId, key, start.payload(), start.timeoutMs());
  }

  private Optional<NotStartedReason> refusalByJob(StartTask start) {
    if (start.agentIncarnation() != incarnation) {
      return Optional.of(NotStartedReason.WRONG_INCARNATION);
    }
    JobLedger job = jobs.get(start.jobId());
    boolean retired = retiredJobs.containsKey(start.jobId()) || (job != null && job.isRetired());
    if (start.admittedAtMs() < floorMs || retired) {
      return Optional.of(NotStartedReason.RETIRED);
    }
    if (job != null && start.epoch() < job.epoch()) {
      return Optional.of(NotStartedReason.STALE_EPOCH);
    }
    return Optional.empty();
  }

  /** Returns why a grant can't start its task now. Acquires a slot if there is no other reason. */
  private Optional<NotStartedReason> refusalOfStart(
      long connectionId, JobLedger job, StartTask start, long nowMs) {
    if (job.isRevoked(start.taskIndex(), start.grantNumber())) {
      return Optional.of(NotStartedReason.REVOKED);
    }
    return refusalOfNewWork(connectionId, nowMs);
  }

  private Optional<NotStartedReason> refusalOfNewWork(long connectionId, long nowMs) {
    if (draining) {
      return Optional.of(NotStartedReason.DRAINING);
    }
    if (!hasLease(nowMs)) {
      return Optional.of(NotStartedReason.NO_LEASE);
    }
    if (!slots.tryAcquireSlot(connectionId)) {
      return Optional.of(NotStartedReason.SLOTS_FULL);
    }
    return Optional.empty();
  }

  private void refuse(long connectionId, StartTask start, NotStartedReason reason) {
    sendNotStarted(
        connectionId, start.jobId(), start.epoch(), start.taskIndex(), start.grantNumber(), reason);
  }

  private void sendNotStarted(
      long connectionId,
      long jobId,
      long epoch,
      int taskIndex,
      int grantNumber,
      NotStartedReason reason) {
    int busyForOthers = slots.busyForOthers(connectionId);
    send(
        connectionId,
        new TaskNotStarted(jobId, epoch, taskIndex, grantNumber, reason, busyForOthers, 0));
  }

  private void report(long connectionId, long jobId, int taskIndex, JobLedger.StartedTask task) {
    if (task.state() == TaskState.RUNNING) {
      send(connectionId, new TaskRunning(jobId, taskIndex));
    } else {
      send(connectionId, toTaskFinished(connectionId, jobId, taskIndex, task, 0));
    }
  }

  private TaskFinished toTaskFinished(
      long connectionId, long jobId, int index, JobLedger.StartedTask task, int credits) {
    return new TaskFinished(
        jobId,
        index,
        task.state(),
        task.result(),
        task.ranMicros(),
        slots.busyForOthers(connectionId),
        credits);
  }

  private void onRevokeTask(long connectionId, RevokeTask revoke) {
    JobLedger job = jobs.get(revoke.jobId());
    if (job != null && revoke.epoch() >= job.epoch()) {
      job.bindConnection(connectionId);
    }
    Optional<JobLedger.StartedTask> known =
        job == null ? Optional.empty() : job.startedTask(revoke.taskIndex());
    if (known.isPresent()) {
      report(connectionId, revoke.jobId(), revoke.taskIndex(), known.get());
      return;
    }
    if (!retiredJobs.containsKey(revoke.jobId())) {
      JobLedger knownJob =
          jobs.computeIfAbsent(revoke.jobId(), id -> new JobLedger(revoke.admittedAtMs()));
      revokeGrant(knownJob, revoke);
    }
    sendNotStarted(
        connectionId,
        revoke.jobId(),
        revoke.epoch(),
        revoke.taskIndex(),
        revoke.grantNumber(),
        NotStartedReason.REVOKED);
  }

  private static void revokeGrant(JobLedger job, RevokeTask revoke) {
    if (revoke.epoch() >= job.epoch()) {
      job.raiseEpoch(revoke.epoch());
      job.revoke(revoke.taskIndex(), revoke.grantNumber());
    }
  }

  private void onFenceJob(long connectionId, FenceJob fence) {
    if (retiredJobs.containsKey(fence.jobId())) {
      // The outcome is committed, so the entry is about to learn that its adoption of the job came
      // too late.
      return;
    }
    JobLedger job = jobs.computeIfAbsent(fence.jobId(), id -> new JobLedger(fence.admittedAtMs()));
    if (fence.epoch() < job.epoch()) {
      return;
    }
    job.raiseEpoch(fence.epoch());
    job.bindConnection(connectionId);
    send(connectionId, new FenceReport(fence.jobId(), fence.epoch(), incarnation, job.reports()));
  }

  private void onRetireJobs(RetireJobs retire) {
    for (long jobId : retire.jobIds()) {
      JobLedger job = jobs.get(jobId);
      if (job != null) {
        job.markRetired();
        compactIfRetired(jobId, job);
      }
    }
  }

  /** Reduces a retired job to its id and time of admission, which suffice to refuse its grants. */
  private void compactIfRetired(long jobId, JobLedger job) {
    if (job.isRetired() && !job.hasRunningTasks()) {
      jobs.remove(jobId);
      retiredJobs.put(jobId, job.admittedAtMs());
    }
  }

  private void onRunRequest(long connectionId, RunRequest run, long nowMs) {
    Optional<NotStartedReason> refusal = refusalOfNewWork(connectionId, nowMs);
    if (refusal.isPresent()) {
      RunRefused refused =
          new RunRefused(run.requestId(), refusal.get(), slots.busyForOthers(connectionId), 0);
      send(connectionId, refused);
      return;
    }
    RunKey key = new RunKey.Request(connectionId, run.requestId());
    startRun(connectionId, key, run.payload(), run.timeoutMs());
  }

  /** Handles the end of a run at the backend server. */
  public List<LedgerEffect> onRunEnded(RunKey key, TaskState state, String result, long ranMicros) {
    switch (key) {
      case RunKey.JobTask task -> onTaskEnded(task, state, result, ranMicros);
      case RunKey.Request request -> onRequestEnded(request, state, result, ranMicros);
    }
    return drainEffects();
  }

  /**
   * Handles a run for which the backend server accepted no connection, so that the payload
   * certainly did not run. The grant is revoked; a later grant may start the task.
   */
  public List<LedgerEffect> onBackendUnreachable(RunKey key) {
    switch (key) {
      case RunKey.JobTask task -> onTaskBackendUnreachable(task);
      case RunKey.Request request -> {
        releaseSlot(request);
        distributeCredits(
            OptionalLong.of(request.connectionId()),
            credits ->
                new RunRefused(
                    request.requestId(),
                    NotStartedReason.BACKEND_UNREACHABLE,
                    slots.busyForOthers(request.connectionId()),
                    credits));
      }
    }
    return drainEffects();
  }

  private void onTaskBackendUnreachable(RunKey.JobTask task) {
    JobLedger job = jobs.get(task.jobId());
    int grantNumber = job.undoStart(task.taskIndex());
    releaseSlot(task);
    distributeCredits(
        OptionalLong.of(job.connectionId()),
        credits ->
            new TaskNotStarted(
                task.jobId(),
                job.epoch(),
                task.taskIndex(),
                grantNumber,
                NotStartedReason.BACKEND_UNREACHABLE,
                slots.busyForOthers(job.connectionId()),
                credits));
  }

  private void onTaskEnded(RunKey.JobTask task, TaskState state, String result, long ranMicros) {
    JobLedger job = jobs.get(task.jobId());
    JobLedger.StartedTask ended =
        new JobLedger.StartedTask(state, job.isRetired() ? "" : result, ranMicros, 0);
    job.putTask(task.taskIndex(), ended);
    compactIfRetired(task.jobId(), job);
    releaseSlot(task);
    distributeCredits(
        OptionalLong.of(job.connectionId()),
        credits ->
            toTaskFinished(job.connectionId(), task.jobId(), task.taskIndex(), ended, credits));
  }

  private void onRequestEnded(
      RunKey.Request request, TaskState state, String result, long ranMicros) {
    releaseSlot(request);
    distributeCredits(
        OptionalLong.of(request.connectionId()),
        credits ->
            new RunResponse(
                request.requestId(),
                state,
                result,
                ranMicros,
                slots.busyForOthers(request.connectionId()),
                credits));
  }

  private void startRun(long connectionId, RunKey key, String payload, long timeoutMs) {
    slotOwners.put(key, connectionId);
    effects.add(new LedgerEffect.Run(key, payload, timeoutMs));
  }

  /** Frees the slot for the connection that acquired it, even if the job uses another one now. */
  private void releaseSlot(RunKey key) {
    slots.releaseSlot(slotOwners.remove(key));
  }

  private void onCreditDemand(long connectionId, CreditDemand demand) {
    slots.updateDemand(connectionId, demand.waiting());
    distributeCredits(OptionalLong.empty(), credits -> null);
  }

  private void onCreditReturn(long connectionId, CreditReturn returned) {
    slots.returnCredits(connectionId, returned.credits());
    distributeCredits(OptionalLong.empty(), credits -> null);
  }

  /** Grants free slots. Credits for the connection of the response are included in the response. */
  private void distributeCredits(OptionalLong respondedTo, IntFunction<Message> response) {
    Map<Long, Integer> grants = slots.distribute();
    if (respondedTo.isPresent()) {
      Integer credits = grants.remove(respondedTo.getAsLong());
      send(respondedTo.getAsLong(), response.apply(credits == null ? 0 : credits));
    }
    grants.forEach((connection, credits) -> send(connection, new CreditGrant(credits)));
    slots
        .nextRecall()
        .ifPresent(recall -> send(recall.connectionId(), new CreditRecall(recall.credits())));
  }

  private void send(long connectionId, Message message) {
    effects.add(new LedgerEffect.Send(connectionId, message));
  }

  private List<LedgerEffect> drainEffects() {
    List<LedgerEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
