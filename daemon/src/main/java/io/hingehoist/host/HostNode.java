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

/** A host: one event loop that owns the {@link WorkerHost} and carries all connections. */
public final class HostNode implements WorkerRegistry, NodeLoop.Node, AutoCloseable {
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** Lines on heartbeats that are ignored, so that no writer can fill the log. */
  private static final int MAX_IGNORED_NOTED = 100;

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
  private final SleepDetector sleepWatch = SleepDetector.create();
  private final Set<String> ignoredNoted = new HashSet<>();

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
    HttpServer.open(loop, settings.workerDoorAddress(), MAX_BODY_BYTES, adapter.workerDoor(this));
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

  /** Follows settings that were read again: new addresses of control replicas are used as well. */
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
      stop.settle();
    }
  }

  /**
   * Stops as planned: takes no further runs and waits for the ends of those that are here. Returns
   * whether all ended. Called from another thread.
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

  // Effects.

  @Override
  public void settle(long nowMs) {
    host.publishWorkers(nowMs);
    host.drainEffects().forEach(this::carryOut);
  }

  private void carryOut(HostEffect effect) {
    switch (effect) {
      case HostEffect.StartCall call ->
          workers.start(call, loop.settling(answer -> started(call, answer)));
      case HostEffect.StopCall call ->
          workers.stop(call, loop.settling(answered -> stopped(call, answered)));
      case HostEffect.PollCall call ->
          workers.hold(call, loop.settling(answer -> listed(call, answer)));
      case HostEffect.CloseConnections forget -> workers.forget(forget.address());
      case HostEffect.SendToOwner to -> owners.send(to.sessionId(), to.message());
      case HostEffect.CloseSession session -> owners.close(session.sessionId());
      case HostEffect.LogDecision noted -> log.write(noted.decision());
    }
  }

  /** Before anything is done on a lease: after a sleep none may be believed. */
  private void checkSleep() {
    long sleptMs = sleepWatch.sleptMs();
    if (sleptMs > 0) {
      host.mayHaveSlept(sleptMs, EventLoop.nowMs());
      loop.settleLater();
    }
  }

  private void started(HostEffect.StartCall call, StartResult answer) {
    checkSleep();
    host.startCallCompleted(call.instanceId(), call.run(), answer, EventLoop.nowMs());
  }

  private void stopped(HostEffect.StopCall call, boolean answered) {
    checkSleep();
    host.stopCallCompleted(call.instanceId(), call.run(), answered, EventLoop.nowMs());
  }

  private void listed(HostEffect.PollCall call, PollResult answer) {
    checkSleep();
    host.pollCallCompleted(call.instanceId(), answer, EventLoop.nowMs());
  }

  // What workers, owners and control replicas say.

  @Override
  public Optional<IgnoredHeartbeat> workerSeen(WorkerInfo info) {
    String own = settings.workerService();
    if (!own.isEmpty() && !info.service().equals(own)) {
      String detail =
          "service: value %s is not allowed; allowed: %s".formatted(info.service(), own);
      return Optional.of(
          new IgnoredHeartbeat(info.workerId(), IgnoredHeartbeat.Problem.OTHER_SERVICE, detail));
    }
    host.workerHeartbeat(info, EventLoop.nowMs());
    loop.settleLater();
    return Optional.empty();
  }

  /** A writer that goes on is named once for each thing that is wrong, as far as there is place. */
  @Override
  public void heartbeatIgnored(IgnoredHeartbeat heartbeat) {
    String problem = heartbeat.problem().name();
    metrics.countIgnoredHeartbeat(problem);
    boolean isNew =
        ignoredNoted.size() < MAX_IGNORED_NOTED
            && ignoredNoted.add(heartbeat.writer() + ' ' + problem);
    if (isNew) {
      String outcome = "problem=" + problem + ' ' + heartbeat.detail();
      log.write("heartbeatIgnored", heartbeat.writer(), outcome);
    }
  }

  @Override
  public void workerLeaves(String workerId) {
    host.workerLeaves(workerId);
    loop.settleLater();
  }

  /** An owner that reaches no control replica hears of a change from hosts that do. */
  private void learnZones(EvacuatedZones zones, String source) {
    if (host.evacuatedZonesReceived(zones, source, EventLoop.nowMs())) {
      owners.sendToAll(zones);
      loop.settleLater();
    }
  }

  private final class OwnerListener implements OwnerLinks.Listener {
    @Override
    public void onBegan(long sessionId, String ownerId) {
      host.sessionOpened(sessionId, ownerId, EventLoop.nowMs());
      loop.settleLater();
    }

    @Override
    public void onMessage(long sessionId, Message message) {
      checkSleep();
      long now = EventLoop.nowMs();
      switch (message) {
        case OwnerBeat beat -> host.ownerHeartbeat(sessionId, beat.sentAtMs(), beat.follows(), now);
        case OwnerWaiting news -> host.updateWaitingTasks(sessionId, news, now);
        case StartRuns order -> host.startRuns(sessionId, order, now);
        case SessionProof proof ->
            host.sessionProven(sessionId, proof.number(), proof.sentAtMs(), now);
        case SessionProbe probe -> host.sessionProbed(sessionId, probe.number(), now);
        case StopRun order -> host.stopRun(sessionId, order.run(), now);
        case EvacuatedZones zones -> learnZones(zones, "session=" + sessionId);
        default -> owners.close(sessionId);
      }
      loop.settleLater();
    }

    @Override
    public void onResumed(long sessionId) {
      host.sessionResumed(sessionId, EventLoop.nowMs());
      loop.settleLater();
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
      loop.settleLater();
    }
  }

  private final class ControlListener implements ControlLinks.Listener {
    @Override
    public void onDirectory(PeerDirectory directory) {
      owners.follow(directory.peers(Role.ENTRY));
    }

    @Override
    public void onNotice(String address, DocumentNotice notice) {}

    @Override
    public void onRoutes(String address, RoutesPart part) {}

    @Override
    public void onZones(String address, EvacuatedZones zones) {
      learnZones(zones, address);
    }

    @Override
    public void onControl(String address, boolean found) {
      log.write(found ? "controlFound" : "controlLost", address, "");
    }
  }

  /** Takes what comes from owners that this host may not have heard of. */
  private final class AnnouncementHandler implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {}

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      if (message instanceof Announce announce) {
        controls.told(announce.self());
        owners.replaceFor(announce.self());
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
