package io.hingehoist.owner;

import io.hingehoist.adapter.Adapter;
import io.hingehoist.adapter.JobIntake;
import io.hingehoist.directory.PeerDirectory;
import io.hingehoist.log.DecisionLog;
import io.hingehoist.loop.NodeLoop;
import io.hingehoist.loop.SleepDetector;
import io.hingehoist.message.DocumentNotice;
import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import io.hingehoist.message.RoutesPart;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.SessionProbe;
import io.hingehoist.message.SessionProof;
import io.hingehoist.message.WorkerCrashed;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.ControlLinks;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.HttpExchange;
import io.hingehoist.net.HttpResponse;
import io.hingehoist.net.HttpServer;
import io.hingehoist.net.PlannedStop;
import io.hingehoist.net.ZoneGauges;
import io.hingehoist.quorum.ControlAddresses;
import io.hingehoist.route.RouteLookup;
import io.hingehoist.route.RouteTable;
import io.hingehoist.run.EvacuatedZonesView;
import io.hingehoist.run.JobEnd;
import io.hingehoist.run.JobPlan;
import io.hingehoist.run.RunTiming;
import io.hingehoist.run.load.UrgentReservation;
import io.hingehoist.run.owner.JobOwner;
import io.hingehoist.run.owner.OwnerEffect;
import io.hingehoist.run.owner.SleepCheck;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.settings.OwnerSection;
import io.hingehoist.wire.Addresses;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The process of an owner: the {@link JobOwner} and all connections, on one event loop.
 *
 * <p>No step of a job depends on the control replicas; they only supply the configuration and the
 * addresses of hosts. Not thread-safe: confined to the event loop, except for {@link #start},
 * {@link #reload} and {@link #stop}.
 */
public final class OwnerNode implements JobIntake, NodeLoop.Node, AutoCloseable {
  /** The name of the document that holds the routes. */
  public static final String CONFIGURATION = "configuration";

  private static final int MAX_READY_BODY_BYTES = 4_096;

  /** The share of the heap for the tasks of jobs without an answer. */
  private static final long TASKS_HEAP_DIVISOR = 5;

  /** The memory of a task of a job. */
  private static final long HEAP_BYTES_PER_TASK = 256;

  /** The maximum number of tasks of all jobs without an answer. */
  private static final long MAX_TASKS =
      Runtime.getRuntime().maxMemory() / TASKS_HEAP_DIVISOR / HEAP_BYTES_PER_TASK;

  private static final long RETRY_AFTER_MS = 1_000;
  private static final String PAUSED = "owner process was paused";

  /**
   * The minimum time for which a stopping owner still accepts jobs. By then the platform sends jobs
   * to other boxes.
   */
  private static final long MIN_STOP_SERVING_MS = 2_500;

  /**
   * The time before the end of a stop at which requests that wait for their route are refused;
   * several ticks, so that the responses are sent before the process ends.
   */
  private static final long STOP_REFUSAL_MS = 200;

  /** A stopping owner accepts a job if the time left is at least this multiple of its objective. */
  private static final double STOP_TIME_FACTOR = 1.3;

  private final NodeSection node;
  private final OwnerSection settings;
  private final Adapter adapter;
  private final Metrics metrics;
  private final DecisionLog log;
  private final NodeLoop loop;
  private final RunTiming timing;
  private final JobOwner jobs;
  private final JobWaiters waiters = new JobWaiters();

  /** The times at which the jobs without an answer were accepted. */
  private final Map<String, Long> acceptedAtMs = new HashMap<>();

  /** The jobs that lost their last waiter since the last flush. */
  private final Set<String> abandonedJobs = new LinkedHashSet<>();

  private final PlannedStop stop;
  private final ControlLinks controls;
  private final HostSessions hosts;
  private final HttpServer frontServer;
  private final EvacuatedZonesView zones = EvacuatedZonesView.create();
  private final RouteFetcher routes;
  private final SleepDetector sleepDetector;
  private final SleepCheck sleepCheck = SleepCheck.create();
  private long suspectedSleepMs;
  private long tickedAtMs;

  private OwnerNode(
      NodeSection node,
      OwnerSection settings,
      int maxBodyBytes,
      Adapter adapter,
      Metrics metrics,
      DecisionLog log,
      EventLoop loop,
      SleepDetector sleepDetector)
      throws IOException {
    this.node = node;
    this.settings = settings;
    this.adapter = adapter;
    this.metrics = metrics;
    this.stop = PlannedStop.of(settings.stopTimeoutSeconds());
    this.log = log;
    this.sleepDetector = sleepDetector;
    this.loop = NodeLoop.create(loop, stop, this);
    this.timing =
        RunTiming.of(
            settings.resubmitAfterMs(), settings.longestWorkerLeaseMs(), settings.killGraceMs());
    this.jobs =
        JobOwner.create(
            timing,
            node.nodeId(),
            node.zone(),
            settings.followedHosts(),
            UrgentReservation.ofPercent(settings.reservedForUrgentPercent()));
    Peer self =
        new Peer(
            node.nodeId(),
            Role.ENTRY,
            settings.listenAddress(),
            System.currentTimeMillis(),
            node.zone());
    this.controls = ControlLinks.create(loop, self, metrics, new ControlListener());
    this.routes = new RouteFetcher(CONFIGURATION, controls, log);
    this.hosts =
        new HostSessions(
            loop,
            self,
            Addresses.firstNonEmpty(settings.bindAddress(), settings.listenAddress()),
            timing.ownerLeaseMs(),
            metrics,
            new HostListener());
    this.frontServer =
        HttpServer.open(loop, settings.frontAddress(), maxBodyBytes, adapter.callerHandler(this));
    if (!settings.readyAddress().isEmpty()) {
      HttpServer.open(loop, settings.readyAddress(), MAX_READY_BODY_BYTES, this::answerReady);
    }
  }

  /**
   * Starts an owner.
   *
   * @param maxBodyBytes the maximum size of a job's body
   * @throws IOException if an address can't be opened
   */
  public static OwnerNode start(
      NodeSection node,
      OwnerSection settings,
      int maxBodyBytes,
      Adapter adapter,
      Metrics metrics,
      DecisionLog log,
      EventLoop loop)
      throws IOException {
    return start(node, settings, maxBodyBytes, adapter, metrics, log, loop, SleepDetector.create());
  }

  /** Starts an owner that detects sleeps of its box with the given detector. */
  static OwnerNode start(
      NodeSection node,
      OwnerSection settings,
      int maxBodyBytes,
      Adapter adapter,
      Metrics metrics,
      DecisionLog log,
      EventLoop loop,
      SleepDetector sleepDetector)
      throws IOException {
    OwnerNode owner =
        new OwnerNode(node, settings, maxBodyBytes, adapter, metrics, log, loop, sleepDetector);
    owner.tickedAtMs = EventLoop.nowMs();
    owner.loop.start(() -> owner.controls.open(ControlAddresses.of(node)));
    metrics.addGauge("hingehoist_owner_jobs", "Jobs without an answer.", owner.jobs::jobCount);
    metrics.addGauge(
        "hingehoist_owner_queued_tasks", "Tasks that wait for room.", owner.jobs::waitingTaskCount);
    metrics.addGauge(
        "hingehoist_owner_tasks", "Tasks of jobs without an answer.", owner.jobs::taskCount);
    metrics.addGauge(
        "hingehoist_owner_tasks_limit",
        "Maximum number of tasks of jobs without an answer.",
        () -> MAX_TASKS);
    ZoneGauges.add(metrics, owner.zones);
    metrics.addGauge(
        "hingehoist_log_lines_dropped", "Log lines dropped under load.", log::droppedCount);
    return owner;
  }

  /** Applies reloaded settings: adds connections to new addresses of control replicas. */
  public void reload(NodeSection newNode) {
    loop.execute(() -> controls.open(ControlAddresses.of(newNode)));
  }

  private void answerReady(HttpExchange exchange) {
    boolean ready =
        !stop.hasBegun() && routes.table().version() > 0 && jobs.hasReadyWorker(EventLoop.nowMs());
    exchange.answer(HttpResponse.text(ready ? 200 : 503, ready ? "ready" : "not ready"));
  }

  // Periodic work.

  @Override
  public void onTick(long nowMs) {
    checkPause(nowMs);
    checkSleep();
    if (sleepCheck.hasSlept(nowMs)) {
      handlePause(suspectedSleepMs);
    }
    tickedAtMs = nowMs;
    controls.onTick(nowMs);
    routes.onTick(nowMs);
    hosts.onTick(nowMs);
    hosts.announceToMissing(controls.directory().peers(Role.AGENT), nowMs);
    jobs.onTick(nowMs);
    if (stop.hasBegun()) {
      checkStop(nowMs);
    }
  }

  /**
   * Checks for a pause of this process, before anything is sent: events that occurred during a
   * pause are handled before the next tick.
   */
  private void checkPause(long nowMs) {
    long pausedMs = nowMs - tickedAtMs;
    if (pausedMs >= timing.ownerLeaseMs()) {
      tickedAtMs = nowMs;
      handlePause(pausedMs);
    }
  }

  /**
   * Drops all jobs, requests that wait for their route, and sessions after a pause of this process.
   * By now the hosts have stopped this owner's runs, and its callers may have submitted their jobs
   * to other owners.
   */
  private void handlePause(long pauseMs) {
    log.write("stoodStill", node.nodeId(), "ms=" + pauseMs + " jobsDropped=" + jobs.jobCount());
    jobs.dropAll(PAUSED);
    routes.dropLookups(PAUSED);
    hosts.endAll();
  }

  /**
   * Checks for a system sleep, before anything is sent: after a sleep as long as a lease, hosts
   * have stopped this owner's runs and callers may have submitted their jobs to other owners.
   */
  private void checkSleep() {
    long sleptMs = sleepDetector.sleptMs();
    boolean hasCallers = jobs.jobCount() > 0 || routes.hasLookups();
    if (sleptMs >= timing.ownerLeaseMs() && hasCallers) {
      suspectedSleepMs = sleptMs;
      int asked = hosts.sendToHostsWithRuns(new SessionProbe(sleepCheck.nextProbeNumber()));
      sleepCheck.begin(asked, EventLoop.nowMs());
      log.write("mayHaveSlept", node.nodeId(), "ms=" + sleptMs + " hostsAsked=" + asked);
    }
  }

  private void checkStop(long nowMs) {
    if (stop.remainingMs(nowMs) <= STOP_REFUSAL_MS) {
      routes.refuseLookups("this box is about to stop");
    }
    boolean drained =
        stop.elapsedMs(nowMs) >= MIN_STOP_SERVING_MS && frontServer.openExchanges() == 0;
    if (drained || stop.remainingMs(nowMs) <= 0) {
      stop.complete();
    }
  }

  /**
   * Performs a planned stop: reports not ready, accepts jobs until the platform sends them
   * elsewhere, and waits for the jobs in progress. Returns whether all were answered. Called from
   * another thread than the event loop.
   */
  public boolean stop() {
    boolean ended =
        loop.stop(
            nowMs -> {
              frontServer.closeAfterResponses();
              log.write("stopping", node.nodeId(), "jobs=" + jobs.jobCount());
            });
    log.write("stopped", node.nodeId(), "jobsLeft=" + jobs.jobCount());
    return ended && jobs.jobCount() == 0;
  }

  // Effects of decisions.

  @Override
  public void flush(long nowMs) {
    checkPause(nowMs);
    checkSleep();
    if (sleepCheck.isPending()) {
      return;
    }
    dropAbandonedJobs();
    jobs.place(nowMs);
    // An answer may free a caller's connection for its next job, which schedules its own flush.
    jobs.drainEffects().forEach(effect -> carryOut(effect, nowMs));
  }

  /** Drops the jobs without a waiter, except those whose caller has come back meanwhile. */
  private void dropAbandonedJobs() {
    for (String jobId : abandonedJobs) {
      if (!waiters.has(jobId)) {
        jobs.drop(jobId, "caller disconnected");
      }
    }
    abandonedJobs.clear();
  }

  private void carryOut(OwnerEffect effect, long nowMs) {
    switch (effect) {
      case OwnerEffect.SendToHost send -> hosts.send(send.hostId(), send.message(), nowMs);
      case OwnerEffect.LogDecision logged -> log.write(logged.decision());
      case OwnerEffect.AnswerJob answer -> answer(answer.jobId(), answer.end());
    }
  }

  private void answer(String jobId, JobEnd end) {
    long elapsedMs = EventLoop.nowMs() - acceptedAtMs.remove(jobId);
    String kind = end.getClass().getSimpleName();
    metrics.recordAnswer("job", kind, elapsedMs / 1_000.0);
    log.write(
        new io.hingehoist.run.Decision(
            "jobAnswered", jobId, "", "", "ms=" + elapsedMs + " end=" + end));
    waiters.notifyEnd(jobId, end);
  }

  // Requests of callers, through the adapter.

  @Override
  public Optional<RouteTable> routes() {
    return Optional.of(routes.table()).filter(table -> table.version() > 0);
  }

  @Override
  public void beginLookup(RouteLookup lookup) {
    routes.begin(lookup);
  }

  @Override
  public void cancelLookup(RouteLookup lookup) {
    routes.cancel(lookup);
  }

  @Override
  public boolean stopsTooSoonFor(JobPlan plan) {
    double neededMs = STOP_TIME_FACTOR * plan.objectiveMs();
    return stop.hasBegun() && stop.remainingMs(EventLoop.nowMs()) < neededMs;
  }

  @Override
  public void submit(JobPlan plan, Waiter waiter) {
    long nowMs = EventLoop.nowMs();
    boolean isNew = !acceptedAtMs.containsKey(plan.jobId());
    if (isNew && jobs.taskCount() + plan.taskCount() > MAX_TASKS) {
      metrics.countRefusal("tasks");
      waiter.onEnd(new JobEnd.Refused("too many tasks at once", RETRY_AFTER_MS));
      return;
    }
    waiters.add(plan.jobId(), waiter);
    // A job that has ended counts as known until it is answered: its waiters get that answer.
    if (isNew) {
      acceptedAtMs.put(plan.jobId(), nowMs);
      jobs.submit(plan, nowMs);
    }
    loop.flushLater();
  }

  @Override
  public void removeWaiter(String jobId, Waiter waiter) {
    if (waiters.remove(jobId, waiter)) {
      abandonedJobs.add(jobId);
      loop.flushLater();
    }
  }

  @Override
  public boolean cancel(String jobId) {
    boolean found = jobs.cancel(jobId);
    loop.flushLater();
    return found;
  }

  @Override
  public boolean hasJob(String jobId) {
    return acceptedAtMs.containsKey(jobId);
  }

  @Override
  public long unstartedJobCount(String queue) {
    return jobs.unstartedJobCount(queue);
  }

  // Messages of control replicas and hosts.

  /**
   * Stores a newer version of the evacuated zones and relays it to every host before any further
   * order, so that a host in an evacuated zone refuses runs even if it reaches no control replica.
   */
  private void updateZones(EvacuatedZones received, String source) {
    if (zones.update(received, EventLoop.nowMs())) {
      String outcome = "version=%d evacuated=%s".formatted(received.version(), received.zones());
      log.write("zonesInForce", source, outcome);
      hosts.sendToAll(received);
    }
  }

  private void sendZones(String hostId) {
    zones.newest().ifPresent(newest -> hosts.send(hostId, newest, EventLoop.nowMs()));
  }

  private final class ControlListener implements ControlLinks.Listener {
    @Override
    public void onDirectory(PeerDirectory directory) {
      hosts.recordNeeded(directory.peers(Role.AGENT).size());
    }

    @Override
    public void onNotice(String address, DocumentNotice notice) {
      routes.onNotice(address, notice);
    }

    @Override
    public void onRoutes(String address, RoutesPart part) {
      routes.onPart(address, part);
    }

    @Override
    public void onZones(String address, EvacuatedZones received) {
      updateZones(received, address);
    }

    @Override
    public void onControl(String address, boolean found) {
      log.write(found ? "controlFound" : "controlLost", address, "");
      if (!found) {
        routes.onLost(address);
      }
    }
  }

  private final class HostListener implements HostSessions.Listener {
    @Override
    public void beforeMessage() {
      checkPause(EventLoop.nowMs());
    }

    @Override
    public void onOpened(String hostId, SessionOpened opened) {
      String outcome =
          "session=%d incarnation=%d formerRunsOver=%s"
              .formatted(opened.sessionId(), opened.hostIncarnation(), opened.formerRunsOver());
      log.write("sessionOpened", hostId, outcome);
      sendZones(hostId);
      jobs.sessionOpened(hostId, opened.zone(), opened.hostIncarnation(), opened.formerRunsOver());
      loop.flushLater();
    }

    @Override
    public void onMessage(String hostId, Message message) {
      long nowMs = EventLoop.nowMs();
      switch (message) {
        case HostRows rows -> jobs.hostRowsReceived(hostId, rows, nowMs);
        case RunEnded ended -> {
          metrics.countTask(ended.end().name());
          jobs.runEnded(hostId, ended, nowMs);
        }
        case WorkerCrashed crash -> jobs.workerCrashed(crash, nowMs);
        case SessionProof proof -> sleepCheck.proofReceived(proof.number());
        case RunNotStarted report -> jobs.runNotStarted(hostId, report, nowMs);
        case EvacuatedZones received -> updateZones(received, hostId);
        default -> metrics.countBadFrame();
      }
      loop.flushLater();
    }

    @Override
    public boolean follows(String hostId) {
      return jobs.follows(hostId);
    }

    @Override
    public void onSuspended(String hostId, long heardAgoMs) {
      log.write("sessionSuspended", hostId, "heardAgoMs=" + heardAgoMs);
      jobs.sessionSuspended(hostId);
    }

    @Override
    public void onResumed(String hostId, long suspendedForMs, int repeatedMessages) {
      String outcome = "suspendedForMs=%d repeated=%d".formatted(suspendedForMs, repeatedMessages);
      log.write("sessionResumed", hostId, outcome);
      sendZones(hostId);
      jobs.sessionResumed(hostId);
      loop.flushLater();
    }

    @Override
    public void onLost(String hostId, boolean mayHoldLease, long leaseRenewedAtMs) {
      jobs.sessionLost(hostId, mayHoldLease, leaseRenewedAtMs);
      loop.flushLater();
    }

    @Override
    public void onAnnounce(Peer peer) {
      controls.addAnnounced(peer);
    }

    /** Sends the proof unless this box may have been asleep itself. */
    @Override
    public void onProbe(long number, Consumer<Message> replies) {
      checkSleep();
      if (!sleepCheck.isPending()) {
        replies.accept(new SessionProof(number, EventLoop.nowMs()));
      }
    }
  }

  @Override
  public void close() {
    frontServer.close();
    hosts.close();
    controls.close();
  }
}
