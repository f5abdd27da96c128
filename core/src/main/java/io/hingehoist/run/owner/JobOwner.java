package io.hingehoist.run.owner;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.message.StopRun;
import io.hingehoist.message.WorkerCrashed;
import io.hingehoist.run.JobEnd;
import io.hingehoist.run.JobPlan;
import io.hingehoist.run.RunTiming;
import io.hingehoist.run.TaskNames;
import io.hingehoist.run.load.FollowedHostCount;
import io.hingehoist.run.load.RefusalPolicy;
import io.hingehoist.run.load.UrgentReservation;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Makes the decisions of a job owner: at which worker each run of a task is ordered, when a lost
 * run may be started again, and when a job is answered.
 *
 * <p>Call the method for each event, then {@link #place}, then carry out the effects of {@link
 * #drainEffects} in order. At any time a task has at most one run that is not known to have ended.
 * Times are in milliseconds of a monotonic clock. Not thread-safe: confined to the thread of the
 * owner's event loop.
 */
public final class JobOwner {
  /**
   * The number of run numbers to skip after one was refused, as another owner has used those up to
   * it.
   */
  private static final long RUN_NUMBER_SKIP = 16;

  /**
   * The number of failures beyond its attempts that a task may have on workers that fail every run.
   * The limit ensures that its job ends.
   */
  private static final int MAX_UNATTRIBUTED_FAILURES = 3;

  private static final long UNHEALTHY_BACKOFF_MS = 1_000;

  /** Several round trips to a busy host. */
  private static final long NOT_READY_BACKOFF_MS = 50;

  private final RunTiming timing;
  private final WorkerSpeeds speeds = new WorkerSpeeds();
  private final WorkerSelector selector = new WorkerSelector(speeds);
  private final FollowedHostCount followedCount;
  private final HostViews hosts;
  private final RunPlacement placement;
  private final StragglerDetector stragglerDetector;
  private final Map<String, OwnedJob> jobs = new LinkedHashMap<>();
  private final Map<String, OwnedTask> activeTasks = new HashMap<>();
  private final StoppingRuns stoppingRuns = new StoppingRuns();
  private final FormerRunNumbers formerRunNumbers = new FormerRunNumbers();
  private final OwnerOutbox outbox = new OwnerOutbox();
  private final CrashHistory crashes = new CrashHistory();
  private long lastJobNumber;

  /** The tasks of all unanswered jobs. */
  private long taskCount;

  private long lastReadyWorkerAtMs;
  private OptionalLong firstReadyWorkerAtMs = OptionalLong.empty();

  private JobOwner(
      RunTiming timing, FollowedHosts followed, int followedHosts, UrgentReservation reservation) {
    this.timing = timing;
    this.followedCount = FollowedHostCount.of(followedHosts);
    this.hosts = new HostViews(followed);
    this.placement =
        new RunPlacement(
            hosts, selector, reservation, outbox, task -> activeTasks.put(task.name(), task));
    this.stragglerDetector = new StragglerDetector(hosts, speeds, selector, placement::newPass);
  }

  /** Creates an owner without jobs that follows every host. */
  public static JobOwner create(RunTiming timing) {
    return create(timing, "", "", Integer.MAX_VALUE);
  }

  /**
   * Creates an owner without jobs.
   *
   * @param followedHosts the minimum number of hosts to follow; they get work first, and hosts of
   *     the owner's zone are preferred
   */
  public static JobOwner create(RunTiming timing, String ownerId, String zone, int followedHosts) {
    return create(timing, ownerId, zone, followedHosts, UrgentReservation.ofPercent(0));
  }

  /**
   * Creates an owner without jobs that reserves room for urgent work.
   *
   * @param followedHosts the minimum number of hosts to follow; they get work first
   * @param reservation the share of room that is reserved for urgent work
   */
  public static JobOwner create(
      RunTiming timing,
      String ownerId,
      String zone,
      int followedHosts,
      UrgentReservation reservation) {
    return new JobOwner(
        timing, new FollowedHosts(ownerId, zone, followedHosts), followedHosts, reservation);
  }

  /** Returns and removes the effects added since the last call, in order. */
  public List<OwnerEffect> drainEffects() {
    return outbox.drain();
  }

  // Calls from clients.

  /** Accepts a job. Returns whether it is new; a job that is already known continues unchanged. */
  public boolean submit(JobPlan plan, long nowMs) {
    if (jobs.containsKey(plan.jobId())) {
      return false;
    }
    OwnedJob job = new OwnedJob(plan, nowMs, ++lastJobNumber);
    jobs.put(plan.jobId(), job);
    taskCount += plan.taskCount();
    for (OwnedTask task : job.tasks()) {
      task.skipRunNumbers(formerRunNumbers.lastNumberOf(task.name()));
    }
    placement.addArrived(job.unblockTasks(), nowMs);
    outbox.logDecision("jobTaken", plan.jobId(), "", plan.queue(), "priority=" + plan.priority());
    applyCrashHistory(job, nowMs);
    refuseIfOversized(job, nowMs);
    return true;
  }

  /** Drops a job whose caller has disconnected, and stops its runs. */
  public void drop(String jobId, String reason) {
    OwnedJob job = jobs.get(jobId);
    if (job != null) {
      endJob(job, new JobEnd.Dropped(reason));
    }
  }

  /** Cancels a job at its caller's request. Returns whether the job was known. */
  public boolean cancel(String jobId) {
    OwnedJob job = jobs.get(jobId);
    if (job == null) {
      return false;
    }
    endJob(job, new JobEnd.Cancelled());
    return true;
  }

  /**
   * Drops every job. Called after the owner's process was paused for so long that its hosts have
   * stopped its runs and its callers may have turned to another owner.
   */
  public void dropAll(String reason) {
    for (OwnedJob job : List.copyOf(jobs.values())) {
      endJob(job, new JobEnd.Dropped(reason));
    }
  }

  /** Returns the number of jobs of a queue of which no task has started. */
  public long unstartedJobCount(String queueName) {
    return jobs.values().stream()
        .filter(job -> !job.mayHaveStarted() && job.plan().queue().equals(queueName))
        .count();
  }

  /** Returns the number of unanswered jobs. */
  public int jobCount() {
    return jobs.size();
  }

  /** Returns the number of tasks of all unanswered jobs. */
  public long taskCount() {
    return taskCount;
  }

  /** Returns the number of tasks that are waiting for room. */
  public int waitingTaskCount() {
    return placement.waitingCount();
  }

  /** Returns the number of ordered runs that are not known to have ended. */
  public int activeRunCount() {
    return activeTasks.size();
  }

  /** Returns whether any known worker accepts runs. */
  public boolean hasReadyWorker(long nowMs) {
    return hosts.hasReadyWorker(nowMs);
  }

  // Events from hosts.

  /**
   * Handles the opening of a session with a host.
   *
   * @param formerRunsOver whether all runs that were ordered at the host before this session have
   *     ended
   */
  public void sessionOpened(String hostId, String zone, long incarnation, boolean formerRunsOver) {
    if (hosts.add(hostId, zone)) {
      outbox.logDecision("hostFound", "", "", hostId, "incarnation=" + incarnation);
      placement.sendWaitingReportTo(hostId);
    }
    if (!formerRunsOver) {
      return;
    }
    for (OwnedTask task : List.copyOf(activeTasks.values())) {
      if (task.hostId().equals(hostId) && task.isUncertain()) {
        requeue(task, task.run(), "formerRunsOver");
      }
    }
  }

  /**
   * Handles the loss of the connection of a session that remains open. The host gets no new orders
   * until the session has a connection again, since orders would be delivered only then. Runs that
   * are already ordered continue.
   */
  public void sessionSuspended(String hostId) {
    hosts.suspend(hostId);
  }

  /** Handles the reconnection of a session. */
  public void sessionResumed(String hostId) {
    if (hosts.resume(hostId)) {
      placement.sendWaitingReportTo(hostId);
    }
  }

  /**
   * Handles the final end of a session.
   *
   * @param mayHoldLease whether the host may still consider this owner's lease valid
   * @param leaseRenewedAtMs the latest time at which that lease may have been renewed, or at which
   *     the host is known to have had no lease any more
   */
  public void sessionLost(String hostId, boolean mayHoldLease, long leaseRenewedAtMs) {
    if (!hosts.remove(hostId)) {
      return;
    }
    stoppingRuns.removeHost(hostId);
    long overAfterMs =
        mayHoldLease ? timing.runsOverAfterSilenceMs() : timing.runsOverAfterDisconnectMs();
    int uncertainRuns = 0;
    for (OwnedTask task : activeTasks.values()) {
      if (task.hostId().equals(hostId) && task.isOrdered()) {
        task.markUncertain(leaseRenewedAtMs + overAfterMs);
        uncertainRuns++;
      }
    }
    String outcome =
        "silent=%s runsUncertain=%d runsOverAfterMs=%d"
            .formatted(mayHoldLease, uncertainRuns, overAfterMs);
    outbox.logDecision("hostLost", "", "", hostId, outcome);
  }

  /**
   * Returns whether a host is to send each change at once, rather than with each heartbeat only.
   */
  public boolean follows(String hostId) {
    return hosts.follows(hostId);
  }

  /** Handles a host's update of the state of its workers. */
  public void hostRowsReceived(String hostId, HostRows rows, long nowMs) {
    hosts
        .find(hostId)
        .ifPresent(
            host -> {
              host.recordUpdateTime(nowMs);
              host.update(rows);
              rows.workers()
                  .forEach(row -> speeds.recordUsualPace(row.workerId(), row.pacePercent()));
            });
  }

  /** Handles a host's report of the tasks that were on a worker when it crashed. */
  public void workerCrashed(WorkerCrashed report, long nowMs) {
    crashes.add(report, nowMs);
    for (String name : report.tasks()) {
      OwnedJob job = jobs.get(TaskNames.jobIdOf(name));
      if (job != null) {
        applyCrashHistory(job, nowMs);
      }
    }
  }

  /**
   * Fails a job if one of its tasks keeps crashing workers; marks tasks that may do so as suspect.
   */
  private void applyCrashHistory(OwnedJob job, long nowMs) {
    for (OwnedTask task : job.tasks()) {
      if (crashes.exceedsCrashLimit(task.name(), nowMs)) {
        int workers = crashes.crashCount(task.name(), nowMs);
        outbox.logDecision(
            "taskGivenUp", job.plan().jobId(), task.name(), "", "crashed=" + workers);
        endJob(
            job, new JobEnd.Failed("task %s crashed %d workers".formatted(task.name(), workers)));
        return;
      }
      if (crashes.isSuspect(task.name(), nowMs)) {
        task.markSuspect();
      }
    }
  }

  /** Handles a host's report that a run did not start. */
  public void runNotStarted(String hostId, RunNotStarted report, long nowMs) {
    Optional<OwnedTask> stopping = stoppingRuns.remove(hostId, report.run());
    if (stopping.isPresent()) {
      workerOf(stopping.get()).ifPresent(worker -> worker.recordNotStarted(report.run().task()));
      return;
    }
    OwnedTask task = findActive(hostId, report.run());
    if (task == null) {
      return;
    }
    task.job().recordNotStarted();
    workerOf(task).ifPresent(worker -> worker.recordNotStarted(task.name()));
    switch (report.reason()) {
      case ROOM, ZONE_EVACUATED -> {}
      // The renewal of this owner's lease may still be on its way to the host. An immediate retry
      // would be refused again.
      case NOT_READY ->
          workerOf(task).ifPresent(worker -> worker.avoidUntil(nowMs + NOT_READY_BACKOFF_MS));
      case OLD_NUMBER -> task.skipRunNumbers(RUN_NUMBER_SKIP);
      case INVALID -> {
        if (task.recordFailure() >= task.job().plan().attempts()) {
          activeTasks.remove(task.name());
          endJob(task.job(), new JobEnd.Failed("refused by workers"));
          return;
        }
      }
      case UNHEALTHY ->
          workerOf(task).ifPresent(worker -> worker.avoidUntil(nowMs + UNHEALTHY_BACKOFF_MS));
    }
    String reason = report.reason() == RunRefusal.ROOM ? "" : report.reason().name();
    requeue(task, report.run(), reason);
  }

  private Optional<WorkerView> workerOf(OwnedTask task) {
    return hosts.workerOf(task);
  }

  /** Handles a host's report that a run has ended. */
  public void runEnded(String hostId, RunEnded report, long nowMs) {
    Optional<OwnedTask> stopping = stoppingRuns.remove(hostId, report.run());
    if (stopping.isPresent()) {
      recordEnd(stopping.get());
      return;
    }
    OwnedTask task = findActive(hostId, report.run());
    if (task == null) {
      return;
    }
    recordEnd(task);
    switch (report.end()) {
      case DONE -> completeTask(task, report.ranMs(), nowMs);
      case FAILED -> handleFailure(task, report.run());
      case STOPPED, LAPSED, BROKEN, ALONE, LOST -> requeue(task, report.run(), report.end().name());
    }
  }

  private void recordEnd(OwnedTask task) {
    workerOf(task).ifPresent(worker -> worker.recordEnd(task.name(), task.plan().need()));
  }

  private OwnedTask findActive(String hostId, RunRef run) {
    OwnedTask task = activeTasks.get(run.task());
    return task != null && task.isCurrentRun(hostId, run) ? task : null;
  }

  private void completeTask(OwnedTask task, long ranMs, long nowMs) {
    activeTasks.remove(task.name());
    task.markDone();
    speeds.recordRun(task.workerId(), ranMs, task.plan().estimateMs(), nowMs);
    OwnedJob job = task.job();
    job.recordDone(task);
    if (job.isComplete()) {
      endJob(job, new JobEnd.Completed());
    } else {
      placement.addAll(job.unblockTasks());
    }
  }

  private void handleFailure(OwnedTask task, RunRef run) {
    task.avoidCurrentWorker();
    if (countFailure(task)) {
      activeTasks.remove(task.name());
      endJob(task.job(), new JobEnd.Failed("task " + task.name() + " failed"));
    } else {
      requeue(task, run, RunEnd.FAILED.name());
    }
  }

  /**
   * Counts a failure; returns whether the task has used up its attempts. Failures on a worker that
   * fails every run are counted separately, as they say little about the task.
   */
  private boolean countFailure(OwnedTask task) {
    int attempts = task.job().plan().attempts();
    boolean isUnattributed = workerOf(task).map(WorkerView::isFailing).orElse(false);
    return isUnattributed
        ? task.recordUnattributedFailure() >= attempts + MAX_UNATTRIBUTED_FAILURES
        : task.recordFailure() >= attempts;
  }

  private void requeue(OwnedTask task, RunRef endedRun, String reason) {
    activeTasks.remove(task.name());
    task.markQueued();
    placement.add(task);
    if (!reason.isEmpty()) {
      String outcome =
          "reason=%s run=%d host=%s".formatted(reason, endedRun.number(), task.hostId());
      outbox.logDecision(
          "runAgain", task.job().plan().jobId(), task.name(), task.workerId(), outcome);
    }
  }

  private void endJob(OwnedJob job, JobEnd end) {
    if (jobs.remove(job.plan().jobId()) != null) {
      taskCount -= job.plan().taskCount();
    }
    for (OwnedTask task : job.tasks()) {
      placement.remove(task);
      formerRunNumbers.record(task);
      if (activeTasks.remove(task.name()) != null && task.isOrdered()) {
        stopRun(task);
        stoppingRuns.add(task);
      }
    }
    outbox.add(new OwnerEffect.AnswerJob(job.plan().jobId(), end));
  }

  private void stopRun(OwnedTask task) {
    if (!task.isStopSent() && hosts.contains(task.hostId())) {
      task.markStopSent();
      outbox.send(task.hostId(), new StopRun(task.run()));
    }
  }

  // Timer.

  /** Performs the actions that have become due; called at short intervals. */
  public void onTick(long nowMs) {
    boolean hasReadyWorker = hasReadyWorker(nowMs);
    if (lastReadyWorkerAtMs == 0 || hasReadyWorker) {
      lastReadyWorkerAtMs = nowMs;
    }
    if (hasReadyWorker && firstReadyWorkerAtMs.isEmpty()) {
      firstReadyWorkerAtMs = OptionalLong.of(nowMs);
    }
    for (OwnedTask task : List.copyOf(activeTasks.values())) {
      if (task.mustHaveEnded(nowMs)) {
        requeue(task, task.run(), "provablyOver");
      } else if (task.isOrdered() && stragglerDetector.shouldMove(task, nowMs)) {
        moveRun(task);
      }
    }
    for (OwnedJob job : List.copyOf(jobs.values())) {
      refuseIfUnstartable(job, nowMs);
    }
    followedCount.sample(usedHosts());
    hosts.setFollowedCount(followedCount.count()).forEach(placement::sendWaitingReportTo);
    placement.demoteLate(task -> speeds.expectedMs(task.plan().estimateMs()), nowMs);
  }

  /** Returns the CPU that runs of this owner use, as a number of hosts of mean capacity. */
  private double usedHosts() {
    long cpuMilli = 0;
    for (OwnedTask task : activeTasks.values()) {
      cpuMilli += task.plan().need().cpuMilli();
    }
    double meanMilli = hosts.meanCpuMilli();
    return meanMilli == 0 ? 0 : cpuMilli / meanMilli;
  }

  /**
   * Refuses an unstarted job as soon as it cannot be answered in time, rather than at its expiry.
   */
  private void refuseIfUnstartable(OwnedJob job, long nowMs) {
    if (job.mayHaveStarted()) {
      return;
    }
    long expiresAfterMs = job.plan().expiresAfterMs();
    RefusalPolicy.refusalOfUnstarted(
            job.waitedMs(nowMs), expiresAfterMs, nowMs - lastReadyWorkerAtMs)
        .ifPresentOrElse(refusal -> refuse(job, refusal), () -> refuseIfOversized(job, nowMs));
  }

  /** Refuses a job with a task that needs more room than any worker has, even when empty. */
  private void refuseIfOversized(OwnedJob job, long nowMs) {
    if (firstReadyWorkerAtMs.isPresent() && hosts.fitsNoWorker(job.plan())) {
      RefusalPolicy.refusalOfOversized(nowMs - firstReadyWorkerAtMs.getAsLong())
          .ifPresent(refusal -> refuse(job, refusal));
    }
  }

  private void refuse(OwnedJob job, RefusalPolicy.Refusal refusal) {
    endJob(job, new JobEnd.Refused(refusal.reason(), refusal.retryAfterMs()));
  }

  private void moveRun(OwnedTask task) {
    String outcome = "ranMs=" + stragglerDetector.observedRunMs(task);
    outbox.logDecision(
        "runMoved", task.job().plan().jobId(), task.name(), task.workerId(), outcome);
    task.avoidCurrentWorker();
    stopRun(task);
  }

  /** Orders runs for the waiting tasks in order of priority, as far as there is room. */
  public void place(long nowMs) {
    placement.place(nowMs);
  }
}
