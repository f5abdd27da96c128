package io.hingehoist.host;

import io.hingehoist.adapter.Adapter;
import io.hingehoist.adapter.IgnoredHeartbeat;
import io.hingehoist.adapter.WorkerCalls;
import io.hingehoist.adapter.WorkerRegistry;
import io.hingehoist.directory.PeerDirectory;
import io.hingehoist.log.DecisionLog;
import io.hingehoist.loop.NodeLoop;
import io.hingehoist.loop.SleepDetector;
import io.hingehoist.message.Announce;
import io.hingehoist.message.DocumentNotice;
import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import io.hingehoist.message.RoutesPart;
import io.hingehoist.message.SessionProbe;
import io.hingehoist.message.SessionProof;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.StopRun;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.ControlLinks;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.HttpServer;
import io.hingehoist.net.PeerChannel;
import io.hingehoist.net.PeerHandler;
import io.hingehoist.net.PeerServer;
import io.hingehoist.net.PlannedStop;
import io.hingehoist.net.ZoneGauges;
import io.hingehoist.quorum.ControlAddresses;
import io.hingehoist.run.RunTiming;
import io.hingehoist.run.host.HostEffect;
import io.hingehoist.run.host.PollResult;
import io.hingehoist.run.host.StartResult;
import io.hingehoist.run.host.WorkerHost;
import io.hingehoist.run.host.WorkerInfo;
import io.hingehoist.settings.HostSection;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.wire.Addresses;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The process of a host: the {@link WorkerHost} and all connections, on one event loop. Not
 * thread-safe: confined to the event loop, except for {@link #start}, {@link #reload} and {@link
 * #stop}.
 */
public final class HostNode implements WorkerRegistry, NodeLoop.Node, AutoCloseable {
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** The maximum number of log lines on ignored heartbeats, so that no sender can fill the log. */
  private static final int MAX_LOGGED_IGNORED = 100;

  private final NodeSection node;
  private final HostSection settings;
  private final Metrics metrics;
  private final DecisionLog log;
  private final NodeLoop loop;
  private final WorkerHost host;
  private final WorkerCalls workers;
  private final ControlLinks controls;
  private final OwnerLinks owners;
  private final PeerServer peers;
  private final PlannedStop stop;
  private final SleepDetector sleepDetector = SleepDetector.create();
  private final Set<String> loggedIgnored = new HashSet<>();

  private HostNode(
      NodeSection node,
      HostSection settings,
      Adapter adapter,
      Metrics metrics,
      DecisionLog log,
      EventLoop loop)
      throws IOException {
    this.node = node;
    this.settings = settings;
    this.metrics = metrics;
    this.stop = PlannedStop.of(settings.stopTimeoutSeconds());
    this.log = log;
    this.loop = NodeLoop.create(loop, stop, this);
    long incarnation = System.currentTimeMillis();
    RunTiming timing =
        RunTiming.of(
            settings.resubmitAfterMs(), settings.longestWorkerLeaseMs(), settings.killGraceMs());
    this.host =
        WorkerHost.create(
            node.nodeId(), incarnation, node.zone(), timing, incarnation, EventLoop.nowMs());
    Peer self =
        new Peer(node.nodeId(), Role.AGENT, settings.listenAddress(), incarnation, node.zone());
    this.workers = adapter.workerCalls(loop, settings.listenAddress());
    this.controls = ControlLinks.create(loop, self, metrics, new ControlListener());
    this.owners = new OwnerLinks(loop, self, metrics, new OwnerListener());
    this.peers =
        PeerServer.open(
            loop,
            Addresses.firstNonEmpty(settings.bindAddress(), settings.listenAddress()),
            AnnouncementHandler::new,
            metrics);
    HttpServer.open(
        loop, settings.workerDoorAddress(), MAX_BODY_BYTES, adapter.workerHandler(this));
  }

  /**
   * Starts a host.
   *
   * @throws IOException if an address can't be opened
   */
  public static HostNode start(
      NodeSection node,
      HostSection settings,
      Adapter adapter,
      Metrics metrics,
      DecisionLog log,
      EventLoop loop)
      throws IOException {
    HostNode host = new HostNode(node, settings, adapter, metrics, log, loop);
    host.loop.start(() -> host.controls.open(ControlAddresses.of(node)));
    metrics.addGauge("hingehoist_host_runs", "Runs that are not over.", host.host::runCount);
    metrics.addGauge("hingehoist_host_workers", "Workers.", host.host::workerCount);
    metrics.addGauge(
        "hingehoist_host_starts_refused_for_zone",
        "Runs refused as the zone is evacuated, or not known not to be.",
        host.host::refusedForZoneCount);
    metrics.addGauge(
        "hingehoist_host_unanswered_starts",
        "Start calls that had no answer.",
        host.host::unansweredStartCount);
    metrics.addGauge(
        "hingehoist_host_unknown_ends",
        "Ends that workers listed of runs that were not known.",
        host.host::unknownEndCount);
    ZoneGauges.add(metrics, host.host.zones());
    metrics.addGauge(
        "hingehoist_log_lines_dropped", "Log lines dropped under load.", log::droppedCount);
    return host;
  }

  /** Applies reloaded settings: adds connections to new addresses of control replicas. */
  public void reload(NodeSection newNode) {
    loop.execute(() -> controls.open(ControlAddresses.of(newNode)));
  }

  @Override
  public void onTick(long nowMs) {
    checkSleep();
    controls.onTick(nowMs);
    owners.onTick(nowMs);
    host.onTick(nowMs);
    if (stop.hasBegun() && host.isIdle()) {
      stop.complete();
    }
  }

  /**
   * Performs a planned stop: accepts no further runs and waits for those in progress to end.
   * Returns whether all ended. Called from another thread than the event loop.
   */
  public boolean stop() {
    boolean ended =
        loop.stop(
            nowMs -> {
              host.stopAcceptingRuns();
              log.write("stopping", node.nodeId(), "runs=" + host.runCount());
            });
    log.write("stopped", node.nodeId(), "allRunsEnded=" + ended);
    return ended;
  }

  // Effects of decisions.

  @Override
  public void flush(long nowMs) {
    host.publishWorkers(nowMs);
    host.drainEffects().forEach(this::carryOut);
  }

  private void carryOut(HostEffect effect) {
    switch (effect) {
      case HostEffect.StartCall call ->
          workers.start(call, loop.andFlush(result -> onStartCompleted(call, result)));
      case HostEffect.StopCall call ->
          workers.stop(call, loop.andFlush(confirmed -> onStopCompleted(call, confirmed)));
      case HostEffect.PollCall call ->
          workers.poll(call, loop.andFlush(result -> onPollCompleted(call, result)));
      case HostEffect.CloseConnections closeConnections ->
          workers.closeConnections(closeConnections.address());
      case HostEffect.SendToOwner send -> owners.send(send.sessionId(), send.message());
      case HostEffect.CloseSession session -> owners.close(session.sessionId());
      case HostEffect.LogDecision logged -> log.write(logged.decision());
    }
  }

  /**
   * Checks for a system sleep, before any action that relies on a lease: a lease may have expired
   * during the sleep.
   */
  private void checkSleep() {
    long sleptMs = sleepDetector.sleptMs();
    if (sleptMs > 0) {
      host.mayHaveSlept(sleptMs, EventLoop.nowMs());
      loop.flushLater();
    }
  }

  private void onStartCompleted(HostEffect.StartCall call, StartResult result) {
    checkSleep();
    host.startCallCompleted(call.instanceId(), call.run(), result, EventLoop.nowMs());
  }

  private void onStopCompleted(HostEffect.StopCall call, boolean confirmed) {
    checkSleep();
    host.stopCallCompleted(call.instanceId(), call.run(), confirmed, EventLoop.nowMs());
  }

  private void onPollCompleted(HostEffect.PollCall call, PollResult result) {
    checkSleep();
    host.pollCallCompleted(call.instanceId(), result, EventLoop.nowMs());
  }

  // Messages of workers, owners and control replicas.

  @Override
  public Optional<IgnoredHeartbeat> workerHeartbeat(WorkerInfo info) {
    String allowed = settings.workerService();
    if (!allowed.isEmpty() && !info.service().equals(allowed)) {
      String detail =
          "service: value %s is not allowed; allowed: %s".formatted(info.service(), allowed);
      return Optional.of(
          new IgnoredHeartbeat(info.workerId(), IgnoredHeartbeat.Problem.OTHER_SERVICE, detail));
    }
    host.workerHeartbeat(info, EventLoop.nowMs());
    loop.flushLater();
    return Optional.empty();
  }

  /** Counts an ignored heartbeat, and logs it once for each sender and problem, up to a limit. */
  @Override
  public void heartbeatIgnored(IgnoredHeartbeat heartbeat) {
    String problem = heartbeat.problem().name();
    metrics.countIgnoredHeartbeat(problem);
    boolean logged =
        loggedIgnored.size() < MAX_LOGGED_IGNORED
            && loggedIgnored.add(heartbeat.sender() + ' ' + problem);
    if (logged) {
      String outcome = "problem=" + problem + ' ' + heartbeat.detail();
      log.write("heartbeatIgnored", heartbeat.sender(), outcome);
    }
  }

  @Override
  public void workerLeaves(String workerId) {
    host.workerLeaves(workerId);
    loop.flushLater();
  }

  /**
   * Stores a newer version of the evacuated zones and relays it to the owners, as one of them may
   * reach no control replica itself.
   */
  private void updateZones(EvacuatedZones zones, String source) {
    if (host.evacuatedZonesReceived(zones, source, EventLoop.nowMs())) {
      owners.sendToAll(zones);
      loop.flushLater();
    }
  }

  private final class OwnerListener implements OwnerLinks.Listener {
    @Override
    public void onOpened(long sessionId, String ownerId) {
      host.sessionOpened(sessionId, ownerId, EventLoop.nowMs());
      loop.flushLater();
    }

    @Override
    public void onMessage(long sessionId, Message message) {
      checkSleep();
      long nowMs = EventLoop.nowMs();
      switch (message) {
        case OwnerBeat heartbeat ->
            host.ownerHeartbeat(sessionId, heartbeat.sentAtMs(), heartbeat.follows(), nowMs);
        case OwnerWaiting waiting -> host.updateWaitingTasks(sessionId, waiting, nowMs);
        case StartRuns order -> host.startRuns(sessionId, order, nowMs);
        case SessionProof proof ->
            host.proofReceived(sessionId, proof.number(), proof.sentAtMs(), nowMs);
        case SessionProbe probe -> host.probeReceived(sessionId, probe.number(), nowMs);
        case StopRun order -> host.stopRun(sessionId, order.run(), nowMs);
        case EvacuatedZones zones -> updateZones(zones, "session=" + sessionId);
        default -> owners.close(sessionId);
      }
      loop.flushLater();
    }

    @Override
    public void onResumed(long sessionId) {
      host.sessionResumed(sessionId, EventLoop.nowMs());
      loop.flushLater();
    }

    @Override
    public void onSuspended(long sessionId, String ownerId, long heardAgoMs) {
      log.write("sessionSuspended", ownerId, "session=" + sessionId + " heardAgoMs=" + heardAgoMs);
    }

    @Override
    public boolean hasRuns(long sessionId) {
      return host.hasRuns(sessionId);
    }

    @Override
    public void onEnded(long sessionId, String reason) {
      host.sessionEnded(sessionId, reason, EventLoop.nowMs());
      loop.flushLater();
    }
  }

  private final class ControlListener implements ControlLinks.Listener {
    @Override
    public void onDirectory(PeerDirectory directory) {
      owners.setOwners(directory.peers(Role.ENTRY));
      peers.recordNeeded(directory.peers(Role.ENTRY).size());
    }

    @Override
    public void onNotice(String address, DocumentNotice notice) {}

    @Override
    public void onRoutes(String address, RoutesPart part) {}

    @Override
    public void onZones(String address, EvacuatedZones zones) {
      updateZones(zones, address);
    }

    @Override
    public void onControl(String address, boolean found) {
      log.write(found ? "controlFound" : "controlLost", address, "");
    }
  }

  /** Handles connections of owners that this host may not know of. */
  private final class AnnouncementHandler implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {}

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      if (message instanceof Announce announce) {
        controls.addAnnounced(announce.self());
        owners.replaceIfSilent(announce.self());
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {}
  }

  @Override
  public void close() {
    peers.close();
    owners.close();
    controls.close();
  }
}
