package io.hingehoist.run;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.message.StopRun;
import io.hingehoist.message.WorkerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The decisions of an owner: which run of which task is ordered at which worker, when a lost one
 * may be started again, and when a job is answered.
 *
 * <p>Call a method for each event, then {@link #place}, then carry out {@link #takeEffects} in
 * order. A task has at most one run that is not provably over. Times are milliseconds of a clock
 * that never goes back. Not thread-safe: one thread owns it.
 */
public final class JobOwner {
  /** After a refused number, the number goes up by this much: another owner used those below. */
  private static final long NUMBER_STEP = 16;

  /** Failures on workers that fail everything end a job as well, so that it ends at all. */
  private static final int MAX_UNCLEAR_FAILURES = 3;

  private static final long AVOID_MS = 1_000;
  private static final long RETRY_AFTER_MS = 1_000;

  /** A run is moved when it takes this many times as long as expected, on a slow worker. */
  private static final double STRAGGLER_FACTOR = 2.5;

  private static final long STRAGGLER_MIN_MS = 100;

  /**
   * Between these shares of its expected time a run is left on a worker that became slow: most of
   * it was done before.
   */
  private static final double NEARLY_DONE = 0.5;

  /** What has run for so long on a slow worker will not end soon. */
  private static final double OVERDUE = 1.2;

  /** After so long without any worker, jobs are refused that can't wait for one to be found. */
  private static final long WITHOUT_WORKERS_MS = 250;

  private static final long PATIENCE_WITHOUT_WORKERS_MS = 2_000;

  /**
   * Of the time after which an answer is worth nothing, how long a job waits for its first start:
   * 1.2 times its objective. What was not begun by then hardly ever earns anything afterwards, and
   * a caller that is refused late has lost the time to go elsewhere; docs/PLATFORM.md has figures.
   */
  private static final double UNBEGUN_SHARE = 0.4;

  /**
   * The share of a worker that must stay free beside a run whose job can't be in time any more: it
   * would take the room of one that can. Played load of three owners and eleven workers, earned at
   * 1.05 and 1.18 of the room: 0.873 to 0.890 and 0.774 to 0.789 (0.25: 0.895 and 0.788).
   */
  private static final double LATE_SPARE_SHARE = 0.1;

  private final RunTiming timing;
  private final SpeedTable speeds = new SpeedTable();
  private final WorkerChoice choice = new WorkerChoice(speeds);
  private final FollowedHosts followed;
  private final Map<String, HostView> hosts = new LinkedHashMap<>();

  /** Those without a connection, which may be back in a moment. */
  private final Set<String> suspended = new HashSet<>();

  /** The followed hosts that have a connection. */
  private List<HostView> followedViews = List.of();

  /** These first, then the others that have one. */
  private List<HostView> allViews = List.of();

  private final Map<String, OwnedJob> jobs = new LinkedHashMap<>();
  private final Map<String, OwnedTask> active = new HashMap<>();
  private final WaitingTasks waiting = new WaitingTasks();
  private final WaitingReport report = new WaitingReport();
  private final List<OwnerEffect> effects = new ArrayList<>();
  private long jobNumber;
  private long readyAtMs;

  private JobOwner(RunTiming timing, FollowedHosts followed) {
    this.timing = timing;
    this.followed = followed;
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
    return new JobOwner(timing, new FollowedHosts(ownerId, zone, followedHosts));
  }

  /** Returns what is to be done since the last call, in order. */
  public List<OwnerEffect> takeEffects() {
    List<OwnerEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  // Callers.

  /** Takes a job. Returns whether it is new; one that is here already goes on as it is. */
  public boolean submit(JobPlan plan, long nowMs) {
    if (jobs.containsKey(plan.jobId())) {
      return false;
    }
    OwnedJob job = new OwnedJob(plan, nowMs, ++jobNumber);
    jobs.put(plan.jobId(), job);
    waiting.addAll(job.takeFreed());
    note("jobTaken", plan.jobId(), "", plan.queue(), "priority=" + plan.priority());
    return true;
  }

  /** Drops a job whose caller is gone, and stops its runs. */
  public void abandon(String jobId, String reason) {
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
  public long pendingCount(String queueName) {
    return jobs.values().stream()
        .filter(job -> !job.mayHaveStarted() && job.plan.queue().equals(queueName))
        .count();
  }

  /** Returns the number of jobs that are not answered. */
  public int jobCount() {
    return jobs.size();
  }

  /** Returns the number of tasks that wait for room. */
  public int queuedCount() {
    return waiting.size();
  }

  /** Returns the number of runs that are ordered and not known to be over. */
  public int activeCount() {
    return active.size();
  }

  /** Returns whether a worker is known that takes runs. */
  public boolean hasReadyWorker(long nowMs) {
    return hosts.values().stream()
        .flatMap(host -> host.workers().stream())
        .anyMatch(worker -> worker.takesRuns(nowMs));
  }

  // Hosts.

  /**
   * Notes an open session.
   *
   * @param formerRunsOver whether no run is going on that was ordered at the host before it
   */
  public void sessionOpened(String hostId, String zone, long incarnation, boolean formerRunsOver) {
    if (!hosts.containsKey(hostId)) {
      hosts.put(hostId, new HostView(hostId));
      followed.add(hostId, zone);
      sortHosts();
      note("hostFound", "", "", hostId, "incarnation=" + incarnation);
      effects.add(new OwnerEffect.ToHost(hostId, report.last()));
    }
    if (!formerRunsOver) {
      return;
    }
    for (OwnedTask task : List.copyOf(active.values())) {
      if (task.hostId.equals(hostId) && task.state == OwnedTask.State.UNCERTAIN) {
        requeue(task, "formerRunsOver");
      }
    }
  }

  /**
   * Notes that a session has no connection on which its host is heard: the host gets nothing new
   * until it has one, as an order would wait for it. What was ordered there goes on.
   */
  public void sessionSuspended(String hostId) {
    if (hosts.containsKey(hostId) && suspended.add(hostId)) {
      sortHosts();
    }
  }

  /** Notes that a session has a connection again on which its host is heard. */
  public void sessionResumed(String hostId) {
    if (suspended.remove(hostId)) {
      sortHosts();
      effects.add(new OwnerEffect.ToHost(hostId, report.last()));
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
    if (hosts.remove(hostId) == null) {
      return;
    }
    suspended.remove(hostId);
    followed.remove(hostId);
    sortHosts();
    long overAfterMs = silent ? timing.overAfterSilenceMs() : timing.overAfterBreakMs();
    int uncertain = 0;
    for (OwnedTask task : active.values()) {
      if (task.hostId.equals(hostId) && task.state == OwnedTask.State.ORDERED) {
        task.state = OwnedTask.State.UNCERTAIN;
        task.uncertainUntilMs = leaseSinceMs + overAfterMs;
        uncertain++;
      }
    }
    String outcome =
        "silent=%s runsUncertain=%d runsOverAfterMs=%d".formatted(silent, uncertain, overAfterMs);
    note("hostLost", "", "", hostId, outcome);
  }

  /** Returns whether a host is to show each change at once, and not only with each heartbeat. */
  public boolean follows(String hostId) {
    return followed.contains(hostId);
  }

  /** Takes what a host shows of its workers. */
  public void hostRows(String hostId, HostRows rows, long nowMs) {
    HostView host = hosts.get(hostId);
    if (host != null) {
      host.noteHeard(nowMs);
      host.update(rows);
    }
  }

  /** Takes a host's word that a run did not start. */
  public void runNotStarted(String hostId, RunNotStarted report, long nowMs) {
    OwnedTask task = find(hostId, report.run());
    if (task == null) {
      return;
    }
    task.job.possibleStarts--;
    view(task).ifPresent(WorkerView::noteOver);
    switch (report.reason()) {
      case ROOM, NOT_READY, ZONE_EVACUATED -> {}
      case OLD_NUMBER -> task.runNumber += NUMBER_STEP;
      case INVALID -> task.failures++;
      case UNHEALTHY -> view(task).ifPresent(worker -> worker.avoidUntil(nowMs + AVOID_MS));
    }
    if (task.failures >= task.job.plan.attempts()) {
      active.remove(task.name);
      end(task.job, new JobEnd.Failed("refused by workers"));
      return;
    }
    requeue(task, report.reason() == RunRefusal.ROOM ? "" : report.reason().name());
  }

  private Optional<WorkerView> view(OwnedTask task) {
    HostView host = hosts.get(task.hostId);
    return host == null ? Optional.empty() : host.worker(task.workerId);
  }

  /** Takes a host's word that a run is over. */
  public void runEnded(String hostId, RunEnded report, long nowMs) {
    OwnedTask task = find(hostId, report.run());
    if (task == null) {
      return;
    }
    view(task).ifPresent(worker -> worker.noteEnd(task.plan().need()));
    switch (report.end()) {
      case DONE -> done(task, report.ranMs(), nowMs);
      case FAILED -> failed(task);
      case STOPPED, LAPSED, BROKEN, ALONE, LOST -> requeue(task, report.end().name());
    }
  }

  private OwnedTask find(String hostId, RunRef run) {
    OwnedTask task = active.get(run.task());
    boolean current = task != null && task.hostId.equals(hostId) && task.runNumber == run.number();
    return current ? task : null;
  }

  private void done(OwnedTask task, long ranMs, long nowMs) {
    active.remove(task.name);
    task.state = OwnedTask.State.DONE;
    speeds.noteRun(task.workerId, ranMs, task.plan().estimateMs(), nowMs);
    OwnedJob job = task.job;
    job.noteDone(task);
    if (job.isComplete()) {
      end(job, new JobEnd.Completed());
    } else {
      waiting.addAll(job.takeFreed());
    }
  }

  private void failed(OwnedTask task) {
    // A worker that fails everything says little of the task.
    if (view(task).map(WorkerView::isFailing).orElse(false)) {
      task.unclearFailures++;
    } else {
      task.failures++;
    }
    task.avoidedWorkerId = task.workerId;
    int attempts = task.job.plan.attempts();
    if (task.failures >= attempts || task.unclearFailures >= attempts + MAX_UNCLEAR_FAILURES) {
      active.remove(task.name);
      end(task.job, new JobEnd.Failed("task " + task.name + " failed"));
    } else {
      requeue(task, RunEnd.FAILED.name());
    }
  }

  private void requeue(OwnedTask task, String reason) {
    active.remove(task.name);
    task.state = OwnedTask.State.QUEUED;
    task.stopSent = false;
    waiting.add(task);
    if (!reason.isEmpty()) {
      note("runAgain", task.job.plan.jobId(), task.name, task.workerId, "reason=" + reason);
    }
  }

  private void end(OwnedJob job, JobEnd end) {
    jobs.remove(job.plan.jobId());
    for (List<OwnedTask> step : job.steps) {
      for (OwnedTask task : step) {
        waiting.remove(task);
        if (task.state == OwnedTask.State.ORDERED && active.remove(task.name) != null) {
          stop(task);
        }
        active.remove(task.name);
      }
    }
    effects.add(new OwnerEffect.Answer(job.plan.jobId(), end));
  }

  private void stop(OwnedTask task) {
    if (!task.stopSent && hosts.containsKey(task.hostId)) {
      task.stopSent = true;
      effects.add(new OwnerEffect.ToHost(task.hostId, new StopRun(task.run())));
    }
  }

  // Time.

  /** Does what the time has made due. */
  public void onTick(long nowMs) {
    if (readyAtMs == 0 || hasReadyWorker(nowMs)) {
      readyAtMs = nowMs;
    }
    for (OwnedTask task : List.copyOf(active.values())) {
      if (task.state == OwnedTask.State.UNCERTAIN && nowMs >= task.uncertainUntilMs) {
        requeue(task, "provablyOver");
      } else if (task.state == OwnedTask.State.ORDERED) {
        checkProgress(task, nowMs);
      }
    }
    for (OwnedJob job : List.copyOf(jobs.values())) {
      refuseIfHopeless(job, nowMs);
    }
    waiting.putLateBehind(task -> speeds.expectedMs(task.plan().estimateMs()), nowMs);
  }

  /** A job that was not started and can't be worth anything is refused at once, not at its end. */
  private void refuseIfHopeless(OwnedJob job, long nowMs) {
    if (job.mayHaveStarted()) {
      return;
    }
    if (nowMs - job.takenAtMs >= UNBEGUN_SHARE * job.plan.worthlessAfterMs()) {
      end(job, new JobEnd.Refused("no room in time", RETRY_AFTER_MS));
    } else if (job.plan.worthlessAfterMs() < PATIENCE_WITHOUT_WORKERS_MS
        && nowMs - readyAtMs >= WITHOUT_WORKERS_MS) {
      end(job, new JobEnd.Refused("no worker is known", RETRY_AFTER_MS));
    }
  }

  private void checkProgress(OwnedTask task, long nowMs) {
    long ranMs = knownRunMs(task);
    double expectedMs = speeds.expectedMs(task.plan().estimateMs());
    if (isBetterElsewhere(task, ranMs, expectedMs, nowMs)) {
      move(task, ranMs);
      return;
    }
    if (ranMs < STRAGGLER_MIN_MS || ranMs < STRAGGLER_FACTOR * expectedMs) {
      return;
    }
    speeds.noteOverdue(task.workerId, ranMs, task.plan().estimateMs(), nowMs);
    boolean slow = view(task).map(worker -> choice.isSlow(worker, nowMs)).orElse(false);
    if (slow && !task.stopSent && newPass(nowMs).choose(task).isPresent()) {
      move(task, ranMs);
    }
  }

  /**
   * Returns how long a run had gone on when its host was last heard: an end that is on its way on a
   * silent connection must not make a sound worker look slow. Before, 13 runs of one owner were
   * stopped in the first 0.4 s of a silence.
   */
  private long knownRunMs(OwnedTask task) {
    return hosts.get(task.hostId).heardAtMs() - task.orderedAtMs;
  }

  private void move(OwnedTask task, long ranMs) {
    note("runMoved", task.job.plan.jobId(), task.name, task.workerId, "ranMs=" + ranMs);
    task.avoidedWorkerId = task.workerId;
    stop(task);
  }

  /**
   * On the word of its host, a run leaves a worker that stands still, even if it then has to wait
   * for room, and a slow one if there is room and the run is not about to end.
   */
  private boolean isBetterElsewhere(OwnedTask task, long ranMs, double expectedMs, long nowMs) {
    WorkerState state = view(task).map(worker -> worker.row().state()).orElse(WorkerState.SILENT);
    boolean stalled = state == WorkerState.STALLED;
    boolean slow = state == WorkerState.SLOW && !isAboutToEnd(ranMs, expectedMs);
    if (task.stopSent || !(stalled || slow)) {
      return false;
    }
    PlacementPass pass = newPass(nowMs);
    return pass.leavesOut(task) && (stalled || pass.choose(task).isPresent());
  }

  private static boolean isAboutToEnd(long ranMs, double expectedMs) {
    return ranMs > NEARLY_DONE * expectedMs && ranMs < OVERDUE * expectedMs;
  }

  /** Orders runs for the tasks that wait, best priority first, as far as there is room. */
  public void place(long nowMs) {
    if (waiting.size() > 0) {
      placeWaiting(nowMs);
    }
    tellWaiting(nowMs);
  }

  private void placeWaiting(long nowMs) {
    OrderBatch batch = new OrderBatch();
    PlacementPass pass = newPass(nowMs);
    waiting.offer(
        task -> order(task, 0, pass, batch, nowMs),
        task -> order(task, LATE_SPARE_SHARE, pass, batch, nowMs));
    batch.emit((hostId, order) -> effects.add(new OwnerEffect.ToHost(hostId, order)));
  }

  /** Hosts give freed room to the owner whose work comes first, so they hear what waits. */
  private void tellWaiting(long nowMs) {
    if (report.isRested(followed.size(), nowMs) && report.isNews(waiting.rows(nowMs), nowMs)) {
      OwnerWaiting news = report.last();
      for (HostView host : followedViews) {
        effects.add(new OwnerEffect.ToHost(host.hostId, news));
      }
    }
  }

  private PlacementPass newPass(long nowMs) {
    return new PlacementPass(choice, followedViews, allViews, nowMs);
  }

  /** Sorts the hosts by whether they are followed, which changes only as they come and go. */
  private void sortHosts() {
    List<HostView> near = new ArrayList<>();
    List<HostView> others = new ArrayList<>();
    for (HostView host : hosts.values()) {
      if (!suspended.contains(host.hostId)) {
        (followed.contains(host.hostId) ? near : others).add(host);
      }
    }
    followedViews = List.copyOf(near);
    near.addAll(others);
    allViews = List.copyOf(near);
  }

  /**
   * Orders a run of a task if a worker has room for it.
   *
   * @param spareShare the share of the worker that must stay free beside the run
   */
  private boolean order(
      OwnedTask task, double spareShare, PlacementPass pass, OrderBatch batch, long nowMs) {
    Optional<WorkerView> chosen = pass.choose(task);
    if (chosen.isEmpty() || !spares(chosen.get(), task, spareShare)) {
      return false;
    }
    WorkerView worker = chosen.get();
    task.state = OwnedTask.State.ORDERED;
    task.runNumber++;
    task.hostId = worker.hostId;
    task.workerId = worker.row().workerId();
    task.orderedAtMs = nowMs;
    task.stopSent = false;
    task.job.possibleStarts++;
    active.put(task.name, task);
    long order = batch.add(task, hosts.get(worker.hostId));
    worker.noteOrder(order, task.plan().need());
    return true;
  }

  /**
   * What is begun goes on in any case. A worker that this owner uses for nothing else may be
   * filled, as some tasks need all of one.
   */
  private static boolean spares(WorkerView worker, OwnedTask task, double spareShare) {
    return task.job.mayHaveStarted()
        || worker.activeRuns() == 0
        || worker.shareLeft(task.plan().need()) >= spareShare;
  }

  private void note(String event, String job, String task, String where, String outcome) {
    effects.add(new OwnerEffect.Noted(new Decision(event, job, task, where, outcome)));
  }
}
