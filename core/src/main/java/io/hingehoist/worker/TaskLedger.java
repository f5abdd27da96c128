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
 * Decides for an agent what starts, and remembers it so that nothing starts twice.
 *
 * <p>A task starts at most once in an incarnation of the agent. What was started stays known until
 * its job is older than the retention, at which point grants for it are refused by age. A grant
 * that was answered with "not started" can never start its task later. Times are milliseconds of a
 * clock that never goes back, except {@code admittedAtMs} and the floor, which are of the
 * replicated clock. Not thread-safe: the agent's control thread owns it.
 */
public final class TaskLedger {
  private final String agentId;
  private final CreditLedger slots;
  private final Map<Long, JobLedger> jobs = new HashMap<>();
  private final Map<Long, Long> retiredJobs = new HashMap<>();
  private final Map<RunKey, Long> slotTakers = new HashMap<>();
  private final List<LedgerEffect> effects = new ArrayList<>();
  private long incarnation;
  private long leaseUntilMs = Long.MIN_VALUE;
  private long floorMs;
  private boolean draining;

  private TaskLedger(String agentId, long incarnation, int slots) {
    this.agentId = agentId;
    this.incarnation = incarnation;
    this.slots = new CreditLedger(slots);
  }

  /** Creates an empty ledger without a lease: it starts nothing before it has one. */
  public static TaskLedger create(String agentId, long incarnation, int slots) {
    if (slots < 1) {
      throw new IllegalArgumentException("slots " + slots + " must be at least 1");
    }
    return new TaskLedger(agentId, incarnation, slots);
  }

  /** Returns the incarnation under which tasks are started. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the number of tasks and requests that run. */
  public int running() {
    return slots.running();
  }

  /** Returns whether the agent takes no new work. */
  public boolean isDraining() {
    return draining;
  }

  /** Returns the number of jobs that are remembered. */
  public int rememberedJobs() {
    return jobs.size() + retiredJobs.size();
  }

  /** Returns whether nothing runs and every job with a task started here has its outcome. */
  public boolean isSettled() {
    boolean owed =
        jobs.values().stream().anyMatch(job -> job.hasStartedTasks() && !job.isRetired());
    return slots.running() == 0 && !owed;
  }

  /**
   * Takes on a new incarnation after the control replicas have ended the old one. What was started
   * stays known; grants to the old incarnation are refused from now on.
   */
  public void renewIncarnation(long newIncarnation) {
    if (newIncarnation <= incarnation) {
      throw new IllegalArgumentException(
          "incarnation " + newIncarnation + " must be above " + incarnation);
    }
    incarnation = newIncarnation;
  }

  /** Notes a lease: until then new work is taken, and jobs older than the floor are forgotten. */
  public void onLease(long untilMs, long newFloorMs) {
    leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    if (newFloorMs > floorMs) {
      floorMs = newFloorMs;
      jobs.values().removeIf(job -> job.admittedAtMs() < floorMs && !job.hasRunningTasks());
      retiredJobs.values().removeIf(admittedAtMs -> admittedAtMs < floorMs);
    }
  }

  /** Drops the lease: this box may have slept, and the lease may be over. */
  public void dropLease() {
    leaseUntilMs = Long.MIN_VALUE;
  }

  /** Returns whether the lease is fresh. */
  public boolean hasLease(long nowMs) {
    return nowMs < leaseUntilMs;
  }

  /** Starts or ends the refusal of new work. */
  public void setDraining(boolean newDraining) {
    draining = newDraining;
  }

  /** Returns the status that opens a connection to an entry, or tells it of a change. */
  public AgentStatus statusFor(long connectionId) {
    return new AgentStatus(
        agentId, incarnation, draining, slots.slots(), slots.busyForOthers(connectionId));
  }

  /** Forgets a connection; its credits return to the others. */
  public List<LedgerEffect> onDisconnected(long connectionId) {
    slots.remove(connectionId);
    settleCredits(OptionalLong.empty(), credits -> null);
    return drainEffects();
  }

  /** Takes a message from an entry in. */
  public List<LedgerEffect> onMessage(long connectionId, Message message, long nowMs) {
    switch (message) {
      case StartTask start -> onStartTask(connectionId, start, nowMs);
      case RevokeTask revoke -> onRevokeTask(connectionId, revoke);
      case FenceJob fence -> onFenceJob(connectionId, fence);
      case RetireJobs retire -> onRetireJobs(retire);
      case RunRequest run -> onRunRequest(connectionId, run, nowMs);
      case CreditDemand demand -> onCreditDemand(connectionId, demand);
      case CreditReturn returned -> onCreditReturn(connectionId, returned);
      default -> throw new IllegalArgumentException("not a message from an entry: " + message);
    }
    return drainEffects();
  }

  private void onStartTask(long connectionId, StartTask start, long nowMs) {
    Optional<NotStartedReason> barred = barredByJob(start);
    if (barred.isPresent()) {
      refuse(connectionId, start, barred.get());
      return;
    }
    JobLedger job = jobs.computeIfAbsent(start.jobId(), id -> new JobLedger(start.admittedAtMs()));
    job.raiseEpoch(start.epoch());
    job.bind(connectionId);
    Optional<JobLedger.Started> known = job.started(start.taskIndex());
    if (known.isPresent()) {
      report(connectionId, start.jobId(), start.taskIndex(), known.get());
      return;
    }
    Optional<NotStartedReason> refusal = refusalNow(connectionId, job, start, nowMs);
    if (refusal.isPresent()) {
      job.revoke(start.taskIndex(), start.grantNumber());
      refuse(connectionId, start, refusal.get());
      return;
    }
    job.put(start.taskIndex(), JobLedger.Started.running(start.grantNumber()));
    RunKey key = new RunKey.JobTask(start.jobId(), start.taskIndex());
    run(connectionId, key, start.payload(), start.timeoutMs());
  }

  private Optional<NotStartedReason> barredByJob(StartTask start) {
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

  /** The slot is taken last, when nothing else speaks against the start. */
  private Optional<NotStartedReason> refusalNow(
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
    if (!slots.takeSlot(connectionId)) {
      return Optional.of(NotStartedReason.SLOTS_FULL);
    }
    return Optional.empty();
  }

  private void refuse(long connectionId, StartTask start, NotStartedReason reason) {
    notStarted(
        connectionId, start.jobId(), start.epoch(), start.taskIndex(), start.grantNumber(), reason);
  }

  private void notStarted(
      long connectionId,
      long jobId,
      long epoch,
      int taskIndex,
      int grant,
      NotStartedReason reason) {
    int busy = slots.busyForOthers(connectionId);
    send(connectionId, new TaskNotStarted(jobId, epoch, taskIndex, grant, reason, busy, 0));
  }

  private void report(long connectionId, long jobId, int taskIndex, JobLedger.Started task) {
    if (task.state() == TaskState.RUNNING) {
      send(connectionId, new TaskRunning(jobId, taskIndex));
    } else {
      send(connectionId, finished(connectionId, jobId, taskIndex, task, 0));
    }
  }

  private TaskFinished finished(
      long connectionId, long jobId, int index, JobLedger.Started task, int credits) {
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
      job.bind(connectionId);
    }
    Optional<JobLedger.Started> known =
        job == null ? Optional.empty() : job.started(revoke.taskIndex());
    if (known.isPresent()) {
      report(connectionId, revoke.jobId(), revoke.taskIndex(), known.get());
      return;
    }
    if (!retiredJobs.containsKey(revoke.jobId())) {
      JobLedger kept =
          jobs.computeIfAbsent(revoke.jobId(), id -> new JobLedger(revoke.admittedAtMs()));
      bar(kept, revoke);
    }
    notStarted(
        connectionId,
        revoke.jobId(),
        revoke.epoch(),
        revoke.taskIndex(),
        revoke.grantNumber(),
        NotStartedReason.REVOKED);
  }

  private static void bar(JobLedger job, RevokeTask revoke) {
    if (revoke.epoch() >= job.epoch()) {
      job.raiseEpoch(revoke.epoch());
      job.revoke(revoke.taskIndex(), revoke.grantNumber());
    }
  }

  private void onFenceJob(long connectionId, FenceJob fence) {
    if (retiredJobs.containsKey(fence.jobId())) {
      // The outcome stands in the log, so the asker is about to hear that it is late.
      return;
    }
    JobLedger job = jobs.computeIfAbsent(fence.jobId(), id -> new JobLedger(fence.admittedAtMs()));
    if (fence.epoch() < job.epoch()) {
      return;
    }
    job.raiseEpoch(fence.epoch());
    job.bind(connectionId);
    send(connectionId, new FenceReport(fence.jobId(), fence.epoch(), incarnation, job.reports()));
  }

  private void onRetireJobs(RetireJobs retire) {
    for (long jobId : retire.jobIds()) {
      JobLedger job = jobs.get(jobId);
      if (job != null) {
        job.retire();
        shrinkIfOver(jobId, job);
      }
    }
  }

  /** Of a job that is over, only its number and age are kept: they bar every grant for it. */
  private void shrinkIfOver(long jobId, JobLedger job) {
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
    run(connectionId, key, run.payload(), run.timeoutMs());
  }

  /** Takes the backend server's answer in. */
  public List<LedgerEffect> onRunEnded(RunKey key, TaskState state, String result, long ranMicros) {
    switch (key) {
      case RunKey.JobTask task -> onTaskEnded(task, state, result, ranMicros);
      case RunKey.Request request -> onRequestEnded(request, state, result, ranMicros);
    }
    return drainEffects();
  }

  /**
   * Takes in that the backend server took no connection, so that the payload surely did not run.
   * The grant can't start it any more; another one may.
   */
  public List<LedgerEffect> onBackendUnreachable(RunKey key) {
    switch (key) {
      case RunKey.JobTask task -> onTaskNotRun(task);
      case RunKey.Request request -> {
        releaseSlot(request);
        settleCredits(
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

  private void onTaskNotRun(RunKey.JobTask task) {
    JobLedger job = jobs.get(task.jobId());
    int grantNumber = job.forgetStart(task.taskIndex());
    releaseSlot(task);
    settleCredits(
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
    JobLedger.Started ended =
        new JobLedger.Started(state, job.isRetired() ? "" : result, ranMicros, 0);
    job.put(task.taskIndex(), ended);
    shrinkIfOver(task.jobId(), job);
    releaseSlot(task);
    settleCredits(
        OptionalLong.of(job.connectionId()),
        credits -> finished(job.connectionId(), task.jobId(), task.taskIndex(), ended, credits));
  }

  private void onRequestEnded(
      RunKey.Request request, TaskState state, String result, long ranMicros) {
    releaseSlot(request);
    settleCredits(
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

  private void run(long connectionId, RunKey key, String payload, long timeoutMs) {
    slotTakers.put(key, connectionId);
    effects.add(new LedgerEffect.Run(key, payload, timeoutMs));
  }

  /** The slot goes back to the connection that took it, even if another one has asked since. */
  private void releaseSlot(RunKey key) {
    slots.releaseSlot(slotTakers.remove(key));
  }

  private void onCreditDemand(long connectionId, CreditDemand demand) {
    slots.noteDemand(connectionId, demand.waiting());
    settleCredits(OptionalLong.empty(), credits -> null);
  }

  private void onCreditReturn(long connectionId, CreditReturn returned) {
    slots.returnCredits(connectionId, returned.credits());
    settleCredits(OptionalLong.empty(), credits -> null);
  }

  /** Hands free slots out; the credits of the entry that is answered ride on the answer. */
  private void settleCredits(OptionalLong answered, IntFunction<Message> answer) {
    Map<Long, Integer> grants = slots.distribute();
    if (answered.isPresent()) {
      Integer riding = grants.remove(answered.getAsLong());
      send(answered.getAsLong(), answer.apply(riding == null ? 0 : riding));
    }
    grants.forEach((connection, credits) -> send(connection, new CreditGrant(credits)));
    slots
        .dueRecall()
        .ifPresent(recall -> send(recall.connectionId(), new CreditRecall(recall.credits())));
  }

  private void send(long connectionId, Message message) {
    effects.add(new LedgerEffect.Send(connectionId, message));
  }

  private List<LedgerEffect> drainEffects() {
    List<LedgerEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }
}
