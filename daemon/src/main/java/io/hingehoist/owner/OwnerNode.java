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
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * An owner: one event loop that owns the {@link JobOwner} and carries all connections.
 *
 * <p>Nothing in the path of a job asks the control replicas; they bring the configuration and the
 * addresses of hosts.
 */
public final class OwnerNode implements JobIntake, NodeLoop.Node, AutoCloseable {
  /** The name of the document that holds the routes. */
  public static final String CONFIGURATION = "configuration";

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int MAX_READY_BODY_BYTES = 4_096;

  /** A planned stop serves at least so long; then the platform has turned to other boxes. */
  private static final long STOP_SERVING_MS = 2_500;

  /** A stopping owner takes a job if this many times its objective is left. */
  private static final double STOP_SPARE_FACTOR = 1.3;

  private final NodeSection node;
  private final OwnerSection settings;
  private final Adapter adapter;
  private final Metrics metrics;
  private final DecisionLog log;
  private final NodeLoop loop;
  private final RunTiming timing;
  private final JobOwner jobs;
  private final JobWaiters waiters = new JobWaiters();
  private final Map<String, Long> takenAtMs = new HashMap<>();
  private final PlannedStop stop;
  private final ControlLinks controls;
  private final HostSessions hosts;
  private final HttpServer front;
  private final EvacuatedZonesView zones = EvacuatedZonesView.create();
  private final RouteFollower routes;
  private final SleepDetector sleepWatch = SleepDetector.create();
  private final SleepCheck doubt = SleepCheck.create();
  private long doubtedSleepMs;
  private long tickedAtMs;

  private OwnerNode(
      NodeSection node,
      OwnerSection settings,
      Adapter adapter,
      Metrics metrics,
      DecisionLog log,
      EventLoop loop)
      throws IOException {
    this.node = node;
    this.settings = settings;
    this.adapter = adapter;
    this.metrics = metrics;
    this.stop = PlannedStop.of(settings.stopTimeoutSeconds());
    this.log = log;
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
    this.routes = new RouteFollower(CONFIGURATION, controls, log);
    this.hosts =
        new HostSessions(
            loop,
            self,
            Addresses.firstNonEmpty(settings.bindAddress(), settings.listenAddress()),
            timing.ownerLeaseMs(),
            metrics,
            new HostListener());
    this.front =
        HttpServer.open(loop, settings.frontAddress(), MAX_BODY_BYTES, adapter.frontDoor(this));
    if (!settings.readyAddress().isEmpty()) {
      HttpServer.open(loop, settings.readyAddress(), MAX_READY_BODY_BYTES, this::answerReady);
    }
  }

  /**
   * Starts an owner.
   *
   * @throws IOException if an address can't be opened
   */
  public static OwnerNode start(
      NodeSection node,
      OwnerSection settings,
      Adapter adapter,
      Metrics metrics,
      DecisionLog log,
      EventLoop loop)
      throws IOException {
    OwnerNode owner = new OwnerNode(node, settings, adapter, metrics, log, loop);
    owner.tickedAtMs = EventLoop.nowMs();
    owner.loop.start(() -> owner.controls.open(ControlAddresses.of(node)));
    metrics.addGauge("hingehoist_owner_jobs", "Jobs without an answer.", owner.jobs::jobCount);
    metrics.addGauge(
        "hingehoist_owner_queued_tasks", "Tasks that wait for room.", owner.jobs::waitingTaskCount);
    ZoneGauges.add(metrics, owner.zones);
    metrics.addGauge(
        "hingehoist_log_lines_dropped", "Log lines dropped under load.", log::droppedCount);
    return owner;
  }

  /** Follows settings that were read again: new addresses of control replicas are used as well. */
  public void reload(NodeSection newNode) {
    loop.execute(() -> controls.open(ControlAddresses.of(newNode)));
  }

  private void answerReady(HttpExchange call) {
    boolean ready =
        !stop.hasBegun() && routes.table().version() > 0 && jobs.hasReadyWorker(EventLoop.nowMs());
    call.answer(HttpResponse.text(ready ? 200 : 503, ready ? "ready" : "not ready"));
  }

  // Time.

  @Override
  public void onTick(long now) {
    checkSleep();
    if (now - tickedAtMs >= timing.ownerLeaseMs()) {
      standstill(now - tickedAtMs);
    }
    if (doubt.hasSlept(now)) {
      standstill(doubtedSleepMs);
    }
    tickedAtMs = now;
    controls.onTick(now);
    routes.onTick(now);
    hosts.onTick(now);
    hosts.knock(controls.directory().peers(Role.AGENT), now);
    jobs.onTick(now);
    if (stop.hasBegun()) {
      checkStop(now);
    }
  }

  /** The hosts have stopped this owner's runs by now, and its callers may be elsewhere. */
  private void standstill(long ms) {
    log.write("stoodStill", node.nodeId(), "ms=" + ms + " jobsDropped=" + jobs.jobCount());
    jobs.dropAll("owner stood still");
    hosts.loseAll();
  }

  /** Before anything goes out: after a sleep as long as a lease, hosts and callers have gone on. */
  private void checkSleep() {
    long sleptMs = sleepWatch.sleptMs();
    if (sleptMs >= timing.ownerLeaseMs() && jobs.jobCount() > 0) {
      doubtedSleepMs = sleptMs;
      int asked = hosts.sendWhereRunsAre(new SessionProbe(doubt.nextProbeNumber()));
      doubt.begin(asked, EventLoop.nowMs());
      log.write("mayHaveSlept", node.nodeId(), "ms=" + sleptMs + " hostsAsked=" + asked);
    }
  }

  private void checkStop(long now) {
    boolean quiet = stop.elapsedMs(now) >= STOP_SERVING_MS && front.openCalls() == 0;
    if (quiet || stop.leftMs(now) <= 0) {
      stop.settle();
    }
  }

  /**
   * Stops as planned: is not ready any more, takes jobs until the platform has turned away, and
   * waits for those that are here. Returns whether all were answered. Called from another thread.
   */
  public boolean stop() {
    boolean ended =
        loop.stop(
            nowMs -> {
              front.closeAfterAnswers();
              log.write("stopping", node.nodeId(), "jobs=" + jobs.jobCount());
            });
    log.write("stopped", node.nodeId(), "jobsLeft=" + jobs.jobCount());
    return ended && jobs.jobCount() == 0;
  }

  // Effects.

  @Override
  public void settle(long nowMs) {
    checkSleep();
    if (doubt.isPending()) {
      return;
    }
    jobs.place(nowMs);
    // An answer may free a caller's connection for its next job, which settles by itself.
    jobs.drainEffects().forEach(this::carryOut);
  }

  private void carryOut(OwnerEffect effect) {
    switch (effect) {
      case OwnerEffect.SendToHost to -> hosts.send(to.hostId(), to.message());
      case OwnerEffect.LogDecision noted -> log.write(noted.decision());
      case OwnerEffect.AnswerJob answer -> answer(answer.jobId(), answer.end());
    }
  }

  private void answer(String jobId, JobEnd end) {
    long ms = EventLoop.nowMs() - takenAtMs.remove(jobId);
    String kind = end.getClass().getSimpleName();
    metrics.recordAnswer("job", kind, ms / 1_000.0);
    log.write(
        new io.hingehoist.run.Decision("jobAnswered", jobId, "", "", "ms=" + ms + " end=" + end));
    waiters.end(jobId, end);
  }

  // What callers ask for, by the adapter.

  @Override
  public Optional<RouteTable> routes() {
    return Optional.of(routes.table()).filter(table -> table.version() > 0);
  }

  @Override
  public void readNewestRoutes(Consumer<Optional<RouteTable>> result) {
    routes.readNewest(result);
  }

  @Override
  public boolean refuses(JobPlan plan) {
    double neededMs = STOP_SPARE_FACTOR * plan.objectiveMs();
    return stop.hasBegun() && stop.leftMs(EventLoop.nowMs()) < neededMs;
  }

  @Override
  public void submit(JobPlan plan, Waiter waiter) {
    long now = EventLoop.nowMs();
    waiters.add(plan.jobId(), waiter);
    if (jobs.submit(plan, now)) {
      takenAtMs.put(plan.jobId(), now);
    }
    loop.settleLater();
  }

  @Override
  public void leave(String jobId, Waiter waiter) {
    if (waiters.remove(jobId, waiter)) {
      jobs.drop(jobId, "caller left");
      loop.settleLater();
    }
  }

  @Override
  public boolean cancel(String jobId) {
    boolean found = jobs.cancel(jobId);
    loop.settleLater();
    return found;
  }

  @Override
  public boolean isHere(String jobId) {
    return takenAtMs.containsKey(jobId);
  }

  @Override
  public long pendingCount(String queue) {
    return jobs.unstartedJobCount(queue);
  }

  // What control replicas and hosts say.

  /**
   * Passes news on to every host, before any further order to it: a host in an evacuated zone
   * refuses, also where it reaches no control replica itself.
   */
  private void learnZones(EvacuatedZones heard, String source) {
    if (zones.update(heard, EventLoop.nowMs())) {
      String outcome = "version=%d evacuated=%s".formatted(heard.version(), heard.zones());
      log.write("zonesInForce", source, outcome);
      hosts.sendToAll(heard);
    }
  }

  private void tellZones(String hostId) {
    zones.newest().ifPresent(newest -> hosts.send(hostId, newest));
  }

  private final class ControlListener implements ControlLinks.Listener {
    @Override
    public void onDirectory(PeerDirectory directory) {}

    @Override
    public void onNotice(String address, DocumentNotice notice) {
      routes.onNotice(address, notice);
    }

    @Override
    public void onRoutes(String address, RoutesPart part) {
      routes.onPart(address, part);
    }

    @Override
    public void onZones(String address, EvacuatedZones heard) {
      learnZones(heard, address);
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
    public void onOpened(String hostId, SessionOpened opened) {
      tellZones(hostId);
      jobs.sessionOpened(hostId, opened.zone(), opened.hostIncarnation(), opened.formerRunsOver());
      loop.settleLater();
    }

    @Override
    public void onMessage(String hostId, Message message) {
      long now = EventLoop.nowMs();
      switch (message) {
        case HostRows rows -> jobs.hostRowsReceived(hostId, rows, now);
        case RunEnded ended -> {
          metrics.countTask(ended.end().name());
          jobs.runEnded(hostId, ended, now);
        }
        case WorkerCrashed news -> jobs.workerCrashed(news, now);
        case SessionProof proof -> doubt.proofReceived(proof.number());
        case RunNotStarted report -> jobs.runNotStarted(hostId, report, now);
        case EvacuatedZones heard -> learnZones(heard, hostId);
        default -> metrics.countBadFrame();
      }
      loop.settleLater();
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
      tellZones(hostId);
      jobs.sessionResumed(hostId);
      loop.settleLater();
    }

    @Override
    public void onLost(String hostId, boolean silent, long leaseSinceMs) {
      jobs.sessionLost(hostId, silent, leaseSinceMs);
      loop.settleLater();
    }

    @Override
    public void onAnnounce(Peer peer) {
      controls.told(peer);
    }

    /** An owner that may have slept itself proves nothing. */
    @Override
    public void onProbe(long number, Consumer<Message> answers) {
      checkSleep();
      if (!doubt.isPending()) {
        answers.accept(new SessionProof(number, EventLoop.nowMs()));
      }
    }
  }

  @Override
  public void close() {
    front.close();
    hosts.close();
    controls.close();
  }
}
