package io.hingehoist.quorum;

import io.hingehoist.command.AdvanceClock;
import io.hingehoist.command.ChangeAgentState;
import io.hingehoist.command.ChangeZone;
import io.hingehoist.command.Command;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.CompleteJob;
import io.hingehoist.command.DocumentAccepted;
import io.hingehoist.command.PublishDocument;
import io.hingehoist.command.SettingsAccepted;
import io.hingehoist.command.SettingsRefused;
import io.hingehoist.command.ZoneAccepted;
import io.hingehoist.control.ControlState;
import io.hingehoist.control.Liveness;
import io.hingehoist.journal.Disk;
import io.hingehoist.journal.Journal;
import io.hingehoist.loop.InboxLoop;
import io.hingehoist.message.Announce;
import io.hingehoist.message.AppendRequest;
import io.hingehoist.message.AppendResponse;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.HeartbeatRequest;
import io.hingehoist.message.Hello;
import io.hingehoist.message.JoinRequest;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.Message;
import io.hingehoist.message.Peer;
import io.hingehoist.message.ProposeRequest;
import io.hingehoist.message.ProposeResponse;
import io.hingehoist.message.QueryRequest;
import io.hingehoist.message.ReplyStatus;
import io.hingehoist.message.Role;
import io.hingehoist.message.RoutesRequest;
import io.hingehoist.message.SnapshotAck;
import io.hingehoist.message.SnapshotChunk;
import io.hingehoist.message.VoteRequest;
import io.hingehoist.message.VoteResponse;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.replication.LogSnapshot;
import io.hingehoist.replication.Replica;
import io.hingehoist.replication.ReplicaEffect;
import io.hingehoist.replication.ReplicaEvent;
import io.hingehoist.replication.ReplicaRole;
import io.hingehoist.replication.ReplicaTiming;
import io.hingehoist.settings.ControlSection;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.state.AgentRow;
import io.hingehoist.state.DocumentRow;
import io.hingehoist.wire.Addresses;
import io.hingehoist.wire.FrameConnection;
import io.hingehoist.wire.FrameHandler;
import io.hingehoist.wire.FrameServer;
import io.hingehoist.wire.MessageSink;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * A control replica: one control thread that owns the log, the applied state and the journal, and
 * traffic threads that only hand messages over.
 *
 * <p>The thread works in batches: it takes every event that waits, lets the replica decide, writes
 * and syncs the journal once, and then sends what promises something about the disk.
 */
public final class ControlNode implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ControlNode.class);
  private static final int MAX_BATCH = 1_000;
  private static final int MAX_QUEUED_FRAMES = 32_768;
  private static final long TICK_MS = 30;
  private static final long CLOCK_PERIOD_MS = 5_000;
  private static final long REPROPOSE_MS = 1_000;

  /** Time for the last group commit, the sync of a slow disk included. */
  private static final long CLOSE_PATIENCE_MS = 5_000;

  private static final long MAX_SEGMENT_BYTES = 64L * 1024 * 1024;

  private final ControlSection settings;
  private final Journal journal;
  private final Metrics metrics;
  private final Replica replica;
  private final Liveness liveness;
  private final ClientRequests requests;
  private final ReplicaLinks links;
  private final Discovery discovery;
  private final Optional<RouteFeed> routeFeed;
  private final boolean discovers;
  private final int voterCount;
  private final InboxLoop<ControlEvent> loop;
  private final List<ReplicaEffect.SendAfterSync> afterSync = new ArrayList<>();
  private final Map<Command, Long> proposedAtMs = new HashMap<>();
  private final Thread platformThread;
  private final FrameServer server;
  private ControlState state;
  private long appliedIndex;
  private long snapshotIndex;
  private boolean documentsChanged;
  private long publishedZonesVersion = -1;
  private long tickedAtMs;
  private long clockAtMs;
  private volatile boolean closed;
  private volatile boolean leading;

  private ControlNode(
      NodeSection node,
      ControlSection settings,
      Journal journal,
      Metrics metrics,
      ThreadFactory threads,
      Optional<RouteFeed> routeFeed,
      Consumer<Throwable> fatal)
      throws IOException {
    this.routeFeed = routeFeed;
    this.settings = settings;
    this.journal = journal;
    // After a failed sync nothing is known of the disk: going on could break a promise.
    this.loop = InboxLoop.create("control", TICK_MS, MAX_BATCH, new LoopNode(), fatal);
    this.metrics = metrics;
    List<String> controlAddresses = ControlAddresses.of(node);
    this.voterCount =
        settings.lossesBorne() == 0 ? controlAddresses.size() : 2 * settings.lossesBorne() + 1;
    LogSnapshot snapshot = journal.recovered().snapshot();
    this.state = ControlState.fromBytes(snapshot.state());
    this.appliedIndex = snapshot.lastIndex();
    this.snapshotIndex = snapshot.lastIndex();
    this.documentsChanged = true;
    this.replica =
        Replica.create(
            journal.identity().replicaId(),
            settings.listenAddress(),
            journal.identity().clusterId(),
            controlAddresses,
            voterCount,
            ReplicaTiming.of(settings.electionTimeoutMs(), settings.heartbeatMs()),
            new Random(),
            journal.recovered(),
            nowMs());
    this.liveness = Liveness.create(settings.memberTimeoutMs());
    this.requests = new ClientRequests(() -> state, replica, settings.leaseMs());
    Hello hello = new Hello(Role.CONTROL, replica.id(), 0, "", FrameConnection.PROTOCOL_VERSION);
    this.links =
        new ReplicaLinks(settings.listenAddress(), hello, new ReplicaPeer(), metrics, threads);
    this.discovers = node.peerPort() > 0;
    this.discovery =
        new Discovery(
            new Peer(
                node.nodeId(),
                Role.CONTROL,
                settings.listenAddress(),
                System.currentTimeMillis(),
                node.zone()));
    controlAddresses.forEach(address -> links.open(address, nowMs()));
    this.server =
        FrameServer.open(
            Addresses.firstNonEmpty(settings.bindAddress(), settings.listenAddress()),
            Greeter::new,
            metrics,
            threads,
            MAX_QUEUED_FRAMES);
    this.platformThread = new Thread(this::readPlatformList, "platform-list");
    this.platformThread.setDaemon(true);
  }

  /**
   * Starts a replica on the state that its data folder holds.
   *
   * @param routeFeed tells owners of routes, where documents hold them
   * @param fatal gets the error after which this process must not go on
   * @throws IOException if the data folder is damaged or the address can't be opened
   */
  public static ControlNode start(
      NodeSection node,
      ControlSection settings,
      Disk disk,
      Metrics metrics,
      ThreadFactory threads,
      Optional<RouteFeed> routeFeed,
      Consumer<Throwable> fatal)
      throws IOException {
    Journal journal = Journal.open(Path.of(node.dataFolder()), disk, metrics);
    ControlNode control =
        new ControlNode(node, settings, journal, metrics, threads, routeFeed, fatal);
    control.loop.start();
    if (!settings.platformList().isEmpty()) {
      control.platformThread.start();
    }
    return control;
  }

  /** Follows settings that were read again: new addresses of replicas are used as well. */
  public void reload(NodeSection node) {
    loop.add(new ControlEvent.AddressesChanged(ControlAddresses.of(node)));
  }

  /** Takes a request from within this process; the answer goes to the sink. */
  public void submit(MessageSink client, Message request) {
    if (!isFromClient(request)) {
      throw new IllegalArgumentException("not a request: " + request);
    }
    loop.add(new ControlEvent.FromClient(client, request));
  }

  /** Returns whether this replica leads. */
  public boolean isLeading() {
    return leading;
  }

  private static long nowMs() {
    return InboxLoop.nowMs();
  }

  private void readPlatformList() {
    PlatformList list = new PlatformList(settings.platformList());
    while (!closed) {
      list.read(boxes -> loop.add(new ControlEvent.Platform(boxes)));
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(settings.platformListMs()));
    }
  }

  // The control thread.

  private final class LoopNode implements InboxLoop.Node<ControlEvent> {
    @Override
    public void onBatch(List<ControlEvent> events, long nowMs) throws IOException {
      handle(events, nowMs);
    }

    @Override
    public void onClosed() throws IOException {
      journal.close();
    }
  }

  private void handle(List<ControlEvent> batch, long now) throws IOException {
    for (ControlEvent event : batch) {
      handle(event, now);
    }
    if (now - tickedAtMs >= TICK_MS) {
      tickedAtMs = now;
      step(new ReplicaEvent.Tick(), now);
      requests.expire(now);
      proposeDue(now);
    }
    if (discovers) {
      discover(now);
    }
    carryOut(replica.flush(now));
    publishDocuments();
    syncJournal();
    afterSync.forEach(send -> send(send.address(), send.message()));
    afterSync.clear();
    saveSnapshotIfDue();
  }

  private void handle(ControlEvent event, long now) throws IOException {
    switch (event) {
      case ControlEvent.FromReplica from -> step(new ReplicaEvent.Received(from.message()), now);
      case ControlEvent.FromClient from -> handle(from.client(), from.message(), now);
      case ControlEvent.Announced announced -> handle(announced, now);
      case ControlEvent.AddressesChanged changed ->
          changed.addresses().forEach(address -> links.open(address, now));
      case ControlEvent.Platform platform -> handle(platform.boxes(), now);
    }
  }

  private void handle(MessageSink client, Message message, long now) throws IOException {
    switch (message) {
      case ProposeRequest request -> {
        if (mayPropose(client, request)) {
          long token = requests.add(client, request);
          propose(token, request.command(), now);
        }
      }
      case QueryRequest request ->
          step(new ReplicaEvent.ReadRequested(requests.add(client, request)), now);
      case HeartbeatRequest request -> {
        liveness.recordHeartbeat(request.role(), request.nodeId(), request.incarnation(), now);
        noteDraining(request, now);
        step(new ReplicaEvent.ReadRequested(requests.add(client, request)), now);
      }
      default -> throw new IllegalStateException("not a request: " + message);
    }
  }

  /**
   * Until a document was accepted, neither one nor an order about a zone is before all voters are
   * there: it must bear their loss.
   */
  private boolean mayPropose(MessageSink client, ProposeRequest request) {
    Optional<Command> command = ClientRequests.commandOf(client, request);
    boolean early =
        command.isPresent()
            && (command.get() instanceof PublishDocument || command.get() instanceof ChangeZone)
            && state.documents().isEmpty()
            && replica.isLeader()
            && replica.voters().size() < voterCount;
    if (early) {
      client.send(
          new ProposeResponse(
              request.requestId(),
              ReplyStatus.UNAVAILABLE,
              replica.leaderAddress(),
              Bytes.empty()));
    }
    return command.isPresent() && !early;
  }

  private void propose(long token, Bytes command, long now) throws IOException {
    step(new ReplicaEvent.Proposed(token, command, System.currentTimeMillis()), now);
  }

  /** Proposes a command of the leader's own, unless the same was proposed a moment ago. */
  private void proposeOnce(Command command, long now) throws IOException {
    Long earlier = proposedAtMs.get(command);
    if (!replica.isLeader() || (earlier != null && now - earlier < REPROPOSE_MS)) {
      return;
    }
    proposedAtMs.put(command, now);
    propose(requests.addUnawaited(), command.toBytes(), now);
  }

  private void noteDraining(HeartbeatRequest request, long now) throws IOException {
    boolean leavesLive =
        request.draining()
            && state
                .agent(request.nodeId())
                .filter(row -> row.info().incarnation() == request.incarnation())
                .filter(row -> row.info().state() == MemberState.LIVE)
                .isPresent();
    if (leavesLive) {
      proposeOnce(
          new ChangeAgentState(
              request.nodeId(),
              request.incarnation(),
              MemberState.DRAINING,
              "plannedStop",
              request.nodeId()),
          now);
    }
  }

  private void handle(PlatformList.Boxes boxes, long now) throws IOException {
    for (PlatformList.Box box : boxes.boxes()) {
      Optional<AgentRow> row = state.agent(String.valueOf(box.agentId()));
      if (row.isPresent()) {
        handle(box, row.get(), now);
      }
    }
  }

  private void handle(PlatformList.Box box, AgentRow row, long now) throws IOException {
    MemberState current = row.info().state();
    boolean undoesOwnDrain =
        current == MemberState.DRAINING && row.stateSource().equals("platform");
    if (box.isLeaving() && current == MemberState.LIVE) {
      proposeOnce(platformChange(row, MemberState.DRAINING), now);
    } else if (!box.isLeaving() && undoesOwnDrain) {
      proposeOnce(platformChange(row, MemberState.LIVE), now);
    }
  }

  private static Command platformChange(AgentRow row, MemberState newState) {
    return new ChangeAgentState(
        row.info().agentId(), row.info().incarnation(), newState, "platform", "platform");
  }

  private void proposeDue(long now) throws IOException {
    if (!replica.isLeader()) {
      return;
    }
    for (Command command : liveness.expiryCommands(state, now)) {
      proposeOnce(command, now);
    }
    if (now - clockAtMs >= CLOCK_PERIOD_MS) {
      clockAtMs = now;
      proposedAtMs.values().removeIf(at -> now - at > REPROPOSE_MS);
      propose(requests.addUnawaited(), new AdvanceClock(settings.retentionMs()).toBytes(), now);
    }
  }

  private void step(ReplicaEvent event, long now) throws IOException {
    carryOut(replica.step(event, now));
  }

  private void carryOut(List<ReplicaEffect> effects) throws IOException {
    for (ReplicaEffect effect : effects) {
      carryOut(effect);
    }
  }

  private void carryOut(ReplicaEffect effect) throws IOException {
    switch (effect) {
      case ReplicaEffect.Send send -> send(send.address(), send.message());
      case ReplicaEffect.SendAfterSync send -> afterSync.add(send);
      case ReplicaEffect.SaveVote vote -> journal.addVote(vote.term(), vote.votedFor());
      case ReplicaEffect.Append append -> journal.addEntries(append.entries());
      case ReplicaEffect.Truncate truncate -> journal.addTruncation(truncate.fromIndex());
      case ReplicaEffect.Install install -> install(install.snapshot());
      case ReplicaEffect.JoinCluster join -> journal.joinCluster(join.clusterId());
      case ReplicaEffect.Apply apply -> apply(apply.entry());
      case ReplicaEffect.Accepted accepted -> requests.accepted(accepted.token(), accepted.index());
      case ReplicaEffect.Rejected rejected -> requests.rejected(rejected.token());
      case ReplicaEffect.ReadReady ready -> requests.readReady(ready.token(), nowMs());
      case ReplicaEffect.RoleChanged changed -> changeRole(changed);
    }
  }

  private void send(String address, Message message) {
    links.send(address, message, nowMs());
  }

  /**
   * Once for all entries of a batch: after a start, the versions before the newest are of no use.
   */
  private void publishDocuments() {
    if (documentsChanged) {
      documentsChanged = false;
      state.documents().forEach(this::publish);
    }
    Optional<EvacuatedZones> zones = knownZones();
    if (zones.isPresent() && zones.get().version() != publishedZonesVersion) {
      publishedZonesVersion = zones.get().version();
      discovery.publish(zones.get());
    }
  }

  private void publish(DocumentRow row) {
    routeFeed.ifPresent(feed -> feed.onDocument(row.name(), row.version(), row.content()));
    discovery.publish(row);
  }

  /** A replica with an empty log, whose disk was lost perhaps, knows nothing of the zones. */
  private Optional<EvacuatedZones> knownZones() {
    return appliedIndex == 0 ? Optional.empty() : Optional.of(state.evacuatedZones());
  }

  /** Makes this replica known to the others, and takes note of where they are. */
  private void discover(long now) {
    discovery
        .dueAnnounce(now)
        .ifPresent(
            announce -> {
              links.sendToAll(announce);
              links.renewSilent(now);
              discovery.controlAddresses().forEach(address -> links.open(address, now));
              replica.updateKnownAddresses(links.addresses());
            });
  }

  private void handle(ControlEvent.Announced announced, long now) {
    links.heard(announced.announce().self().address(), now);
    discovery.onAnnounce(
        announced.sender(), announced.announce(), state.documents(), knownZones(), now);
  }

  private void apply(LogEntry entry) {
    CommandResult result = state.apply(entry);
    appliedIndex = entry.index();
    countSettingsChange(result);
    noteDocument(entry, result);
    noteZones(entry, result);
    if (entry.kind() == EntryKind.COMMAND) {
      requests.applied(entry.index(), result);
      completedJob(entry).ifPresent(requests::jobEnded);
    }
  }

  private void noteDocument(LogEntry entry, CommandResult result) {
    if (result instanceof DocumentAccepted accepted && entry.kind() == EntryKind.COMMAND) {
      for (DocumentRow row : state.documents()) {
        if (row.version() == accepted.heldVersion()) {
          LOG.infof(
              "event=documentApplied name=%s version=%d index=%d",
              row.name(), row.version(), entry.index());
          documentsChanged = true;
        }
      }
    }
  }

  private void noteZones(LogEntry entry, CommandResult result) {
    if (result instanceof ZoneAccepted accepted) {
      EvacuatedZones zones = state.evacuatedZones();
      LOG.infof(
          "event=zonesApplied version=%d evacuated=%s index=%d",
          accepted.version(), zones.zones(), entry.index());
    }
  }

  private void countSettingsChange(CommandResult result) {
    switch (result) {
      case SettingsAccepted accepted -> {
        metrics.countSettingsChange("accepted");
        LOG.infof("event=settingsAccepted revision=%d", accepted.revision());
      }
      case SettingsRefused refused -> metrics.countSettingsChange("refused");
      default -> {}
    }
  }

  private static Optional<Long> completedJob(LogEntry entry) {
    try {
      return Command.fromBytes(entry.body()) instanceof CompleteJob complete
          ? Optional.of(complete.jobId())
          : Optional.empty();
    } catch (IOException e) {
      throw new IllegalStateException("a committed command can't be read", e);
    }
  }

  private void changeRole(ReplicaEffect.RoleChanged changed) {
    LOG.infof(
        "event=roleChanged role=%s term=%d leader=%s",
        changed.role(), changed.term(), changed.leaderAddress());
    metrics.recordRoleChange(changed.role().name(), changed.term());
    leading = changed.role() == ReplicaRole.LEADER;
    if (leading) {
      liveness.reset(nowMs());
      proposedAtMs.clear();
    } else {
      requests.leadershipEnded();
    }
  }

  private void install(LogSnapshot snapshot) throws IOException {
    journal.saveSnapshot(snapshot, replica.term(), replica.votedFor(), List.of());
    state = ControlState.fromBytes(snapshot.state());
    appliedIndex = snapshot.lastIndex();
    snapshotIndex = snapshot.lastIndex();
    documentsChanged = true;
    LOG.infof("event=snapshotInstalled index=%d", snapshot.lastIndex());
  }

  private void syncJournal() throws IOException {
    while (journal.hasUnsynced()) {
      long upTo = replica.lastIndex();
      journal.sync();
      step(new ReplicaEvent.Persisted(upTo), nowMs());
    }
  }

  private void saveSnapshotIfDue() throws IOException {
    boolean due =
        appliedIndex - snapshotIndex >= settings.snapshotEntries()
            || (journal.segmentBytes() > MAX_SEGMENT_BYTES && appliedIndex > snapshotIndex);
    if (!due) {
      return;
    }
    LogSnapshot snapshot =
        new LogSnapshot(
            appliedIndex,
            replica.termAt(appliedIndex),
            replica.votersAt(appliedIndex),
            state.toBytes());
    journal.saveSnapshot(
        snapshot, replica.term(), replica.votedFor(), replica.entriesAfter(appliedIndex));
    snapshotIndex = appliedIndex;
    step(new ReplicaEvent.SnapshotSaved(snapshot), nowMs());
  }

  // Traffic threads.

  private static boolean isFromReplica(Message message) {
    return switch (message) {
      case VoteRequest m -> true;
      case VoteResponse m -> true;
      case AppendRequest m -> true;
      case AppendResponse m -> true;
      case SnapshotChunk m -> true;
      case SnapshotAck m -> true;
      case JoinRequest m -> true;
      default -> false;
    };
  }

  private static boolean isFromClient(Message message) {
    return message instanceof ProposeRequest
        || message instanceof QueryRequest
        || message instanceof HeartbeatRequest;
  }

  /** Takes what comes back on a connection that this replica opened. */
  private final class ReplicaPeer implements FrameHandler {
    @Override
    public void onMessage(FrameConnection connection, Message message) {
      connection.close();
    }

    @Override
    public void onClosed(FrameConnection connection) {}
  }

  /** Takes what comes on a connection that others opened; the first message says who they are. */
  private final class Greeter implements FrameHandler {
    private Hello hello;

    @Override
    public void onMessage(FrameConnection connection, Message message) {
      if (hello == null) {
        greet(connection, message);
      } else if (message instanceof Announce announce) {
        loop.add(new ControlEvent.Announced(connection, announce));
      } else if (message instanceof RoutesRequest request) {
        routeFeed.ifPresent(feed -> feed.onRequest(connection, request));
      } else if (hello.role() == Role.CONTROL && isFromReplica(message)) {
        loop.add(new ControlEvent.FromReplica(message));
      } else if (hello.role() != Role.CONTROL && isFromClient(message)) {
        loop.add(new ControlEvent.FromClient(connection, message));
      } else {
        metrics.countBadFrame();
        connection.close();
      }
    }

    private void greet(FrameConnection connection, Message message) {
      if (message instanceof Hello greeting
          && greeting.protocolVersion() == FrameConnection.PROTOCOL_VERSION) {
        hello = greeting;
      } else {
        metrics.countBadFrame();
        connection.close();
      }
    }

    @Override
    public void onClosed(FrameConnection connection) {}
  }

  /** Stops the replica. What is not synced was not acknowledged to anyone. */
  @Override
  public void close() {
    closed = true;
    server.close();
    LockSupport.unpark(platformThread);
    loop.close(CLOSE_PATIENCE_MS);
    // Until it has ended, the control thread opens links.
    links.close();
  }
}
