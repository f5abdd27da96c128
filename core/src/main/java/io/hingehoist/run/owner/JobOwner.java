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
 * The decisions of an owner: which run of which task is ordered at which worker, when a lost one
 * may be started again, and when a job is answered.
 *
 * <p>Call a method for each event, then {@link #place}, then carry out {@link #drainEffects} in
 * order. A task has at most one run that is not provably over. Times are milliseconds of a clock
 * that never goes back. Not thread-safe: one thread owns it.
 */
public final class JobOwner {
  /** After a refused number, the number goes up by this much: another owner used those below. */
  private static final long NUMBER_STEP = 16;

  /** Failures on workers that fail everything end a job as well, so that it ends at all. */
  private static final int MAX_UNCLEAR_FAILURES = 3;

  private static final long AVOID_MS = 1_000;

  /** Some round trips to a host that is busy. */
  private static final long NOT_READY_MS = 50;

  private final RunTiming timing;
  private final SpeedTable speeds = new SpeedTable();
  private final WorkerChoice choice = new WorkerChoice(speeds);
  private final FollowedHostCount followedCount;
  private final HostViews hosts;
  private final RunPlacement placement;
  private final RunWatch watch;
  private final Map<String, OwnedJob> jobs = new LinkedHashMap<>();
  private final Map<String, OwnedTask> active = new HashMap<>();
  private final OwnerOutbox outbox = new OwnerOutbox();
  private final CrashEvidence crashes = new CrashEvidence();
  private long jobNumber;
  private long readyAtMs;
  private OptionalLong fleetKnownAtMs = OptionalLong.empty();

  private JobOwner(
      RunTiming timing, FollowedHosts followed, int followedHosts, UrgentReservation reservation) {
    this.timing = timing;
    this.followedCount = FollowedHostCount.of(followedHosts);
    this.hosts = new HostViews(followed);
    this.placement =
        new RunPlacement(hosts, choice, reservation, outbox, task -> active.put(task.name(), task));
    this.watch = new RunWatch(hosts, speeds, choice, placement::newPass);
  }

  /** Creates an owner of no jobs that follows every host closely. */
  public static JobOwner create(RunTiming timing) {
    return create(timing, "", "", Integer.MAX_VALUE);
  }

  /**
   * Creates an owner of no jobs.
   *
   * @param followedHosts the number of hosts that get work first, those of its zone before others
   */
  public static JobOwner create(RunTiming timing, String ownerId, String zone, int followedHosts) {
    return create(timing, ownerId, zone, followedHosts, UrgentReservation.ofPercent(0));
  }

  /**
   * Creates an owner of no jobs that keeps room for urgent work.
   *
   * @param followedHosts the least number of hosts that get work first
   * @param reservation the room that long work leaves to urgent work
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

  /** Returns what is to be done since the last call, in order. */
  public List<OwnerEffect> drainEffects() {
    return outbox.take();
  }

  // Callers.

  /** Takes a job. Returns whether it is new; one that is here already goes on as it is. */
  public boolean submit(JobPlan plan, long nowMs) {
    if (jobs.containsKey(plan.jobId())) {
      return false;
    }
    OwnedJob job = new OwnedJob(plan, nowMs, ++jobNumber);
    jobs.put(plan.jobId(), job);
    placement.addArrived(job.takeFreed(), nowMs);
    outbox.note("jobTaken", plan.jobId(), "", plan.queue(), "priority=" + plan.priority());
    noteCrashes(job, nowMs);
    refuseIfTooWide(job, nowMs);
    return true;
  }

  /** Drops a job whose caller is gone, and stops its runs. */
  public void drop(String jobId, String reason) {
    OwnedJob job = jobs.get(jobId);
    if (job != null) {
      end(job, new JobEnd.Dropped(reason));
    }
  }

  /** Ends a job on its caller's word. Returns whether there was one. */
  public boolean cancel(String jobId) {
    OwnedJob job = jobs.get(jobId);
    if (job == null) {
      return false;
    }
    end(job, new JobEnd.Cancelled());
    return true;
  }

  /**
   * Drops every job: this owner stood still for so long that its hosts have stopped its runs, and
   * its callers may have gone to another owner.
   */
  public void dropAll(String reason) {
    for (OwnedJob job : List.copyOf(jobs.values())) {
      end(job, new JobEnd.Dropped(reason));
    }
  }

  /** Returns the number of jobs of a queue none of whose tasks was started. */
  public long unstartedJobCount(String queueName) {
    return jobs.values().stream()
        .filter(job -> !job.mayHaveStarted() && job.plan().queue().equals(queueName))
        .count();
  }

  /** Returns the number of jobs that are not answered. */
  public int jobCount() {
    return jobs.size();
  }

  /** Returns the number of tasks that wait for room. */
  public int waitingTaskCount() {
    return placement.waitingCount();
  }

  /** Returns the number of runs that are ordered and not known to be over. */
  public int activeRunCount() {
    return active.size();
  }

  /** Returns whether a worker is known that takes runs. */
  public boolean hasReadyWorker(long nowMs) {
    return hosts.hasReadyWorker(nowMs);
  }

  // Hosts.

  /**
   * Notes an open session.
   *
   * @param formerRunsOver whether no run is going on that was ordered at the host before it
   */
  public void sessionOpened(String hostId, String zone, long incarnation, boolean formerRunsOver) {
    if (hosts.add(hostId, zone)) {
      outbox.note("hostFound", "", "", hostId, "incarnation=" + incarnation);
      placement.tellWaitingTo(hostId);
    }
    if (!formerRunsOver) {
      return;
    }
    for (OwnedTask task : List.copyOf(active.values())) {
      if (task.hostId().equals(hostId) && task.isUncertain()) {
        requeue(task, task.run(), "formerRunsOver");
      }
    }
  }

  /**
   * Notes that a session has no connection on which its host is heard: the host gets nothing new
   * until it has one, as an order would wait for it. What was ordered there goes on.
   */
  public void sessionSuspended(String hostId) {
    hosts.suspend(hostId);
  }

  /** Notes that a session has a connection again on which its host is heard. */
  public void sessionResumed(String hostId) {
    if (hosts.resume(hostId)) {
      placement.tellWaitingTo(hostId);
    }
  }

  /**
   * Notes that a session is over and won't go on.
   *
   * @param silent whether its host may still hold the lease of this owner
   * @param leaseSinceMs when that lease may last have been renewed, or when the host is known not
   *     to have had one any more
   */
  public void sessionLost(String hostId, boolean silent, long leaseSinceMs) {
    if (!hosts.remove(hostId)) {
      return;
    }
    long overAfterMs =
        silent ? timing.runsOverAfterSilenceMs() : timing.runsOverAfterDisconnectMs();
    int uncertain = 0;
    for (OwnedTask task : active.values()) {
      if (task.hostId().equals(hostId) && task.isOrdered()) {
        task.noteUncertain(leaseSinceMs + overAfterMs);
        uncertain++;
      }
    }
    String outcome =
        "silent=%s runsUncertain=%d runsOverAfterMs=%d".formatted(silent, uncertain, overAfterMs);
    outbox.note("hostLost", "", "", hostId, outcome);
  }

  /** Returns whether a host is to show each change at once, and not only with each heartbeat. */
  public boolean follows(String hostId) {
    return hosts.follows(hostId);
  }

  /** Takes what a host shows of its workers. */
  public void hostRowsReceived(String hostId, HostRows rows, long nowMs) {
    hosts
        .find(hostId)
        .ifPresent(
            host -> {
              host.noteHeard(nowMs);
              host.update(rows);
              rows.workers().forEach(row -> speeds.notePace(row.workerId(), row.pacePercent()));
            });
  }

  /** Takes a host's word of the tasks that were at a worker when it crashed. */
  public void workerCrashed(WorkerCrashed news, long nowMs) {
    crashes.note(news, nowMs);
    for (String name : news.tasks()) {
      OwnedJob job = jobs.get(TaskNames.jobIdOf(name));
      if (job != null) {
        noteCrashes(job, nowMs);
      }
    }
  }

  /** Gives a job up if one of its tasks crashes workers; what is suspected is tried apart. */
  private void noteCrashes(OwnedJob job, long nowMs) {
    for (OwnedTask task : job.tasks()) {
      if (crashes.isGivenUp(task.name(), nowMs)) {
        int workers = crashes.countOf(task.name(), nowMs);
        outbox.note("taskGivenUp", job.plan().jobId(), task.name(), "", "crashed=" + workers);
        end(job, new JobEnd.Failed("task %s crashed %d workers".formatted(task.name(), workers)));
        return;
      }
      if (crashes.isSuspect(task.name(), nowMs)) {
        task.makeSuspect();
      }
    }
  }

  /** Takes a host's word that a run did not start. */
  public void runNotStarted(String hostId, RunNotStarted report, long nowMs) {
    OwnedTask task = find(hostId, report.run());
    if (task == null) {
      return;
    }
    task.job().noteNotStarted();
    view(task).ifPresent(worker -> worker.noteNotStarted(task.name()));
    switch (report.reason()) {
      case ROOM, ZONE_EVACUATED -> {}
      // Its host may be about to hear of this owner's lease: tried at once, it would refuse again.
      case NOT_READY -> view(task).ifPresent(worker -> worker.avoidUntil(nowMs + NOT_READY_MS));
      case OLD_NUMBER -> task.skipRunNumbers(NUMBER_STEP);
      case INVALID -> {
        if (task.noteFailure() >= task.job().plan().attempts()) {
          active.remove(task.name());
          end(task.job(), new JobEnd.Failed("refused by workers"));
          return;
        }
      }
      case UNHEALTHY -> view(task).ifPresent(worker -> worker.avoidUntil(nowMs + AVOID_MS));
    }
    String reason = report.reason() == RunRefusal.ROOM ? "" : report.reason().name();
    requeue(task, report.run(), reason);
  }

  private Optional<WorkerView> view(OwnedTask task) {
    return hosts.workerOf(task);
  }

  /** Takes a host's word that a run is over. */
  public void runEnded(String hostId, RunEnded report, long nowMs) {
    OwnedTask task = find(hostId, report.run());
    if (task == null) {
      return;
    }
    view(task).ifPresent(worker -> worker.noteEnd(task.name(), task.plan().need()));
    switch (report.end()) {
      case DONE -> done(task, report.ranMs(), nowMs);
      case FAILED -> failed(task, report.run());
      case STOPPED, LAPSED, BROKEN, ALONE, LOST -> requeue(task, report.run(), report.end().name());
    }
  }

  private OwnedTask find(String hostId, RunRef run) {
    OwnedTask task = active.get(run.task());
    return task != null && task.isRun(hostId, run) ? task : null;
  }

  private void done(OwnedTask task, long ranMs, long nowMs) {
    active.remove(task.name());
    task.noteDone();
    speeds.noteRun(task.workerId(), ranMs, task.plan().estimateMs(), nowMs);
    OwnedJob job = task.job();
    job.noteDone(task);
    if (job.isComplete()) {
      end(job, new JobEnd.Completed());
    } else {
      placement.addAll(job.takeFreed());
    }
  }

  private void failed(OwnedTask task, RunRef run) {
    task.avoidItsWorker();
    if (hasFailedForGood(task)) {
      active.remove(task.name());
      end(task.job(), new JobEnd.Failed("task " + task.name() + " failed"));
    } else {
      requeue(task, run, RunEnd.FAILED.name());
    }
  }

  /** Counts a failure; one on a worker that fails everything says little of the task. */
  private boolean hasFailedForGood(OwnedTask task) {
    int attempts = task.job().plan().attempts();
    boolean unclear = view(task).map(WorkerView::isFailing).orElse(false);
    return unclear
        ? task.noteUnclearFailure() >= attempts + MAX_UNCLEAR_FAILURES
        : task.noteFailure() >= attempts;
  }

  private void requeue(OwnedTask task, RunRef over, String reason) {
    active.remove(task.name());
    task.noteQueued();
    placement.add(task);
    if (!reason.isEmpty()) {
      String outcome = "reason=%s run=%d host=%s".formatted(reason, over.number(), task.hostId());
      outbox.note("runAgain", task.job().plan().jobId(), task.name(), task.workerId(), outcome);
    }
  }

  private void end(OwnedJob job, JobEnd end) {
    jobs.remove(job.plan().jobId());
    for (OwnedTask task : job.tasks()) {
      placement.remove(task);
      if (active.remove(task.name()) != null && task.isOrdered()) {
        stop(task);
      }
    }
    outbox.add(new OwnerEffect.AnswerJob(job.plan().jobId(), end));
  }

  private void stop(OwnedTask task) {
    if (!task.isStopSent() && hosts.contains(task.hostId())) {
      task.noteStopSent();
      outbox.send(task.hostId(), new StopRun(task.run()));
    }
  }

  // Time.

  /** Does what the time has made due. */
  public void onTick(long nowMs) {
    boolean hasReadyWorker = hasReadyWorker(nowMs);
    if (readyAtMs == 0 || hasReadyWorker) {
      readyAtMs = nowMs;
    }
    if (hasReadyWorker && fleetKnownAtMs.isEmpty()) {
      fleetKnownAtMs = OptionalLong.of(nowMs);
    }
    for (OwnedTask task : List.copyOf(active.values())) {
      if (task.isProvablyOver(nowMs)) {
        requeue(task, task.run(), "provablyOver");
      } else if (task.isOrdered() && watch.isToBeMoved(task, nowMs)) {
        move(task);
      }
    }
    for (OwnedJob job : List.copyOf(jobs.values())) {
      refuseIfHopeless(job, nowMs);
    }
    followedCount.sample(takenHosts());
    hosts.follow(followedCount.count()).forEach(placement::tellWaitingTo);
    placement.putLateBehind(task -> speeds.expectedMs(task.plan().estimateMs()), nowMs);
  }

  /** Returns the room that runs of this owner take, in hosts of mean size. */
  private double takenHosts() {
    long cpuMilli = 0;
    for (OwnedTask task : active.values()) {
      cpuMilli += task.plan().need().cpuMilli();
    }
    double meanMilli = hosts.meanCpuMilli();
    return meanMilli == 0 ? 0 : cpuMilli / meanMilli;
  }

  /** A job that was not started and can't be worth anything is refused at once, not at its end. */
  private void refuseIfHopeless(OwnedJob job, long nowMs) {
    if (job.mayHaveStarted()) {
      return;
    }
    long expiresAfterMs = job.plan().expiresAfterMs();
    RefusalPolicy.refusalOfUnstarted(job.waitedMs(nowMs), expiresAfterMs, nowMs - readyAtMs)
        .ifPresentOrElse(no -> refuse(job, no), () -> refuseIfTooWide(job, nowMs));
  }

  /** Room that no worker has, even an empty one, will not become free. */
  private void refuseIfTooWide(OwnedJob job, long nowMs) {
    if (fleetKnownAtMs.isPresent() && hosts.isWiderThanAll(job.plan())) {
      RefusalPolicy.refusalOfOversized(nowMs - fleetKnownAtMs.getAsLong())
          .ifPresent(no -> refuse(job, no));
    }
  }

  private void refuse(OwnedJob job, RefusalPolicy.Refusal refusal) {
    end(job, new JobEnd.Refused(refusal.reason(), refusal.retryAfterMs()));
  }

  private void move(OwnedTask task) {
    String outcome = "ranMs=" + watch.knownRunMs(task);
    outbox.note("runMoved", task.job().plan().jobId(), task.name(), task.workerId(), outcome);
    task.avoidItsWorker();
    stop(task);
  }

  /** Orders runs for the tasks that wait, best priority first, as far as there is room. */
  public void place(long nowMs) {
    placement.place(nowMs);
  }
}
