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
import io.hingehoist.limits.ConnectionLimits;
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
import io.hingehoist.message.OriginalReplica;
import io.hingehoist.message.Peer;
import io.hingehoist.message.ProposeRequest;
import io.hingehoist.message.ProposeResponse;
import io.hingehoist.message.QueryRequest;
import io.hingehoist.message.ReplicaInfo;
import io.hingehoist.message.ReplyStatus;
import io.hingehoist.message.Role;
import io.hingehoist.message.RoutesRequest;
import io.hingehoist.message.SnapshotAck;
import io.hingehoist.message.SnapshotChunk;
import io.hingehoist.message.VoteRequest;
import io.hingehoist.message.VoteResponse;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.replication.DurableState;
import io.hingehoist.replication.LogLimits;
import io.hingehoist.replication.LogSnapshot;
import io.hingehoist.replication.Membership;
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
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * A control replica. The log, the applied state and the journal are confined to the control thread;
 * the threads of connections only put messages into its queue.
 *
 * <p>The control thread works in batches: it drains its queue, passes the events to the replica,
 * writes and syncs the journal once, and only then sends the messages that depend on durable data.
 */
public final class ControlNode implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ControlNode.class);
  private static final int MAX_BATCH = 1_000;
  private static final int MAX_QUEUED_FRAMES = 32_768;
  private static final long TICK_MS = 30;
  private static final long CLOCK_INTERVAL_MS = 5_000;
  private static final long REPROPOSE_INTERVAL_MS = 1_000;

  /** The timeout for the last group commit, including the sync of a slow disk. */
  private static final long CLOSE_TIMEOUT_MS = 5_000;

  /** Bounds the file of a segment whose entries are truncated again and again. */
  private static final long MAX_SEGMENT_BYTES = 64L * 1024 * 1024;

  private final ControlSection settings;
  private final Journal journal;
  private final LogLimits limits;
  private final Metrics metrics;
  private final Replica replica;
  private final Liveness liveness;
  private final ClientRequests requests;
  private final ReplicaLinks links;
  private final Discovery discovery;
  private final Optional<RouteFeed> routeFeed;
  private final boolean discoversPeers;
  private final int voterCount;
  private final InboxLoop<ControlEvent> loop;
  private final List<ReplicaEffect.SendAfterSync> sendsAfterSync = new ArrayList<>();
  private final Map<Command, Long> proposedAtMs = new HashMap<>();
  private final Thread platformThread;
  private final FrameServer server;
  private ControlState state;
  private long appliedIndex;
  private long snapshotIndex;
  private boolean documentsChanged;
  private boolean refusesProposals;
  private long publishedZonesVersion = -1;
  private long tickedAtMs;
  private long clockAdvancedAtMs;
  private volatile boolean closed;
  private volatile boolean leading;

  private ControlNode(
      NodeSection node,
      ControlSection settings,
      Journal journal,
      DurableState recovered,
      LogLimits limits,
      ConnectionLimits peerLimits,
      Metrics metrics,
      ThreadFactory threads,
      Optional<RouteFeed> routeFeed,
      Consumer<Throwable> onFatalError)
      throws IOException {
    this.routeFeed = routeFeed;
    this.settings = settings;
    this.journal = journal;
    this.limits = limits;
    // After a failed sync, the state of the disk is unknown, so acknowledged data could be lost.
    this.loop = InboxLoop.create("control", TICK_MS, MAX_BATCH, new LoopNode(), onFatalError);
    this.metrics = metrics;
    List<String> controlAddresses = ControlAddresses.of(node);
    this.voterCount =
        settings.lossesBorne() == 0 ? controlAddresses.size() : 2 * settings.lossesBorne() + 1;
    LogSnapshot snapshot = recovered.snapshot();
    this.state = ControlState.fromBytes(snapshot.state());
    this.appliedIndex = snapshot.lastIndex();
    this.snapshotIndex = snapshot.lastIndex();
    this.documentsChanged = true;
    this.replica =
        Replica.create(
            new Membership(
                journal.identity().replicaId(),
                settings.listenAddress(),
                journal.identity().clusterId(),
                controlAddresses,
                voterCount,
                mayFound(settings),
                journal.identity().foundingId()),
            ReplicaTiming.of(settings.electionTimeoutMs(), settings.heartbeatMs()),
            limits,
            new Random(),
            recovered,
            nowMs());
    this.liveness = Liveness.create(settings.memberTimeoutMs());
    this.requests = new ClientRequests(() -> state, replica, settings.leaseMs());
    Hello hello = new Hello(Role.CONTROL, replica.id(), 0, "", FrameConnection.PROTOCOL_VERSION);
    this.links =
        new ReplicaLinks(settings.listenAddress(), hello, new OutgoingHandler(), metrics, threads);
    this.discoversPeers = node.peerPort() > 0;
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
            IncomingHandler::new,
            metrics,
            threads,
            MAX_QUEUED_FRAMES,
            peerLimits);
    this.platformThread = new Thread(this::readPlatformList, "platform-list");
    this.platformThread.setDaemon(true);
  }

  private static boolean mayFound(ControlSection settings) {
    return !settings.foundsAt().isEmpty() && settings.foundsAt().equals(settings.doorAddress());
  }

  /**
   * Returns the id of the cluster to found at the first start, at which all replicas have the same
   * addresses; empty at a later start.
   */
  private static String foundingId(NodeSection node, ControlSection settings) {
    if (!settings.firstStart()) {
      return "";
    }
    String addresses = String.join(",", new TreeSet<>(node.controlAddresses()));
    return UUID.nameUUIDFromBytes(addresses.getBytes(StandardCharsets.UTF_8)).toString();
  }

  /**
   * Starts a replica from the state in its data folder.
   *
   * @param peerLimits the limits on the connections that other processes open
   * @param routeFeed sends routes to owners, if the documents of the log hold routes
   * @param fatal called with an error after which this process must stop
   * @throws IOException if the data folder is damaged or the address can't be opened
   */
  public static ControlNode start(
      NodeSection node,
      ControlSection settings,
      Disk disk,
      ConnectionLimits peerLimits,
      Metrics metrics,
      ThreadFactory threads,
      Optional<RouteFeed> routeFeed,
      Consumer<Throwable> onFatalError)
      throws IOException {
    Journal journal =
        Journal.open(Path.of(node.dataFolder()), disk, metrics, foundingId(node, settings));
    DurableState recovered = journal.takeRecovered();
    ControlNode control =
        new ControlNode(
            node,
            settings,
            journal,
            recovered,
            LogLimits.ofHeap(Runtime.getRuntime().maxMemory()),
            peerLimits,
            metrics,
            threads,
            routeFeed,
            onFatalError);
    LOG.infof(
        "event=journalRead snapshotIndex=%d snapshotBytes=%d entries=%d entryBytes=%d"
            + " segmentBytes=%d",
        control.snapshotIndex,
        recovered.snapshot().state().size(),
        recovered.entries().size(),
        control.replica.logBytes(),
        journal.segmentBytes());
    control.loop.start();
    if (!settings.platformList().isEmpty()) {
      control.platformThread.start();
    }
    return control;
  }

  /** Applies reloaded settings: adds connections to new addresses of replicas. */
  public void reload(NodeSection node) {
    loop.add(new ControlEvent.AddressesChanged(ControlAddresses.of(node)));
  }

  /** Submits a request from within this process; the response is sent to the sink. */
  public void submit(MessageSink client, Message request) {
    if (!isFromClient(request)) {
      throw new IllegalArgumentException("not a client request: " + request);
    }
    loop.add(new ControlEvent.FromClient(client, request));
  }

  /** Returns whether this replica is the leader. Thread-safe. */
  public boolean isLeader() {
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
      handleBatch(events, nowMs);
    }

    @Override
    public void onClosed() throws IOException {
      journal.close();
    }
  }

  private void handleBatch(List<ControlEvent> batch, long nowMs) throws IOException {
    for (ControlEvent event : batch) {
      handle(event, nowMs);
    }
    if (nowMs - tickedAtMs >= TICK_MS) {
      tickedAtMs = nowMs;
      step(new ReplicaEvent.Tick(), nowMs);
      requests.expire(nowMs);
      proposeDue(nowMs);
    }
    if (discoversPeers) {
      discover(nowMs);
    }
    carryOut(replica.flush(nowMs));
    publishDocuments();
    syncJournal();
    sendsAfterSync.forEach(send -> send(send.address(), send.message()));
    sendsAfterSync.clear();
    saveSnapshotIfDue();
  }

  private void handle(ControlEvent event, long nowMs) throws IOException {
    switch (event) {
      case ControlEvent.FromReplica from -> step(new ReplicaEvent.Received(from.message()), nowMs);
      case ControlEvent.FromClient from -> handleRequest(from.client(), from.message(), nowMs);
      case ControlEvent.Announced announced -> handleAnnounce(announced, nowMs);
      case ControlEvent.AddressesChanged changed ->
          changed.addresses().forEach(address -> links.open(address, nowMs));
      case ControlEvent.Platform platform -> handlePlatformList(platform.boxes(), nowMs);
    }
  }

  private void handleRequest(MessageSink client, Message message, long nowMs) throws IOException {
    switch (message) {
      case ProposeRequest request -> {
        if (mayPropose(client, request)) {
          long token = requests.add(client, request);
          propose(token, request.command(), nowMs);
        }
      }
      case QueryRequest request ->
          step(new ReplicaEvent.ReadRequested(requests.add(client, request)), nowMs);
      case HeartbeatRequest request -> {
        liveness.recordHeartbeat(request.role(), request.nodeId(), request.incarnation(), nowMs);
        proposeDraining(request, nowMs);
        step(new ReplicaEvent.ReadRequested(requests.add(client, request)), nowMs);
      }
      default -> throw new IllegalStateException("not a client request: " + message);
    }
  }

  /** Returns whether a request may be proposed; responds to it if not. */
  private boolean mayPropose(MessageSink client, ProposeRequest request) {
    Optional<Command> command = ClientRequests.commandOf(client, request);
    if (command.isEmpty()) {
      return false;
    }
    boolean refused = lacksVoters(command.get()) || lacksRoom(request.command());
    if (refused) {
      client.send(
          new ProposeResponse(
              request.requestId(),
              ReplyStatus.UNAVAILABLE,
              replica.leaderAddress(),
              Bytes.empty()));
    }
    return !refused;
  }

  /**
   * Returns whether a command must wait until all voters have joined: before the first document is
   * accepted, documents and zone changes are refused, as an accepted one must survive the loss of
   * as many replicas as the deployment tolerates.
   */
  private boolean lacksVoters(Command command) {
    return (command instanceof PublishDocument || command instanceof ChangeZone)
        && state.documents().isEmpty()
        && replica.isLeader()
        && replica.voters().size() < voterCount;
  }

  /** Returns whether too much is uncommitted, as while a quorum's disks are slow. */
  private boolean lacksRoom(Bytes command) {
    boolean lacksRoom = replica.isLeader() && !replica.hasRoomFor(command.size());
    if (lacksRoom) {
      metrics.countRefusal("uncommittedBytes");
    }
    if (lacksRoom != refusesProposals) {
      refusesProposals = lacksRoom;
      LOG.infof(
          "event=%s index=%d committed=%d logBytes=%d",
          lacksRoom ? "proposalsRefused" : "proposalsAccepted",
          replica.lastIndex(),
          replica.commitIndex(),
          replica.logBytes());
    }
    return lacksRoom;
  }

  private void propose(long token, Bytes command, long nowMs) throws IOException {
    step(new ReplicaEvent.Proposed(token, command, System.currentTimeMillis()), nowMs);
  }

  /** Proposes a command of the leader itself, unless the same was proposed recently. */
  private void proposeOnce(Command command, long nowMs) throws IOException {
    Long lastProposedAtMs = proposedAtMs.get(command);
    if (!replica.isLeader()
        || (lastProposedAtMs != null && nowMs - lastProposedAtMs < REPROPOSE_INTERVAL_MS)) {
      return;
    }
    proposedAtMs.put(command, nowMs);
    propose(requests.nextToken(), command.toBytes(), nowMs);
  }

  private void proposeDraining(HeartbeatRequest request, long nowMs) throws IOException {
    boolean startsDraining =
        request.draining()
            && state
                .agent(request.nodeId())
                .filter(row -> row.info().incarnation() == request.incarnation())
                .filter(row -> row.info().state() == MemberState.LIVE)
                .isPresent();
    if (startsDraining) {
      proposeOnce(
          new ChangeAgentState(
              request.nodeId(),
              request.incarnation(),
              MemberState.DRAINING,
              "plannedStop",
              request.nodeId()),
          nowMs);
    }
  }

  private void handlePlatformList(PlatformList.Boxes boxes, long nowMs) throws IOException {
    for (PlatformList.Box box : boxes.boxes()) {
      Optional<AgentRow> row = state.agent(String.valueOf(box.agentId()));
      if (row.isPresent()) {
        handleBox(box, row.get(), nowMs);
      }
    }
  }

  private void handleBox(PlatformList.Box box, AgentRow row, long nowMs) throws IOException {
    MemberState current = row.info().state();
    boolean undoesOwnDrain =
        current == MemberState.DRAINING && row.stateSource().equals("platform");
    if (box.isLeaving() && current == MemberState.LIVE) {
      proposeOnce(platformChange(row, MemberState.DRAINING), nowMs);
    } else if (!box.isLeaving() && undoesOwnDrain) {
      proposeOnce(platformChange(row, MemberState.LIVE), nowMs);
    }
  }

  private static Command platformChange(AgentRow row, MemberState newState) {
    return new ChangeAgentState(
        row.info().agentId(), row.info().incarnation(), newState, "platform", "platform");
  }

  private void proposeDue(long nowMs) throws IOException {
    if (!replica.isLeader()) {
      return;
    }
    for (Command command : liveness.expiryCommands(state, nowMs)) {
      proposeOnce(command, nowMs);
    }
    if (nowMs - clockAdvancedAtMs >= CLOCK_INTERVAL_MS) {
      clockAdvancedAtMs = nowMs;
      proposedAtMs.values().removeIf(atMs -> nowMs - atMs > REPROPOSE_INTERVAL_MS);
      propose(requests.nextToken(), new AdvanceClock(settings.retentionMs()).toBytes(), nowMs);
    }
  }

  private void step(ReplicaEvent event, long nowMs) throws IOException {
    carryOut(replica.step(event, nowMs));
  }

  private void carryOut(List<ReplicaEffect> effects) throws IOException {
    for (ReplicaEffect effect : effects) {
      carryOut(effect);
    }
  }

  private void carryOut(ReplicaEffect effect) throws IOException {
    switch (effect) {
      case ReplicaEffect.Send send -> send(send.address(), send.message());
      case ReplicaEffect.SendAfterSync send -> sendsAfterSync.add(send);
      case ReplicaEffect.SaveVote vote -> journal.addVote(vote.term(), vote.votedFor());
      case ReplicaEffect.Append append -> journal.addEntries(append.entries());
      case ReplicaEffect.Truncate truncate -> journal.addTruncation(truncate.fromIndex());
      case ReplicaEffect.Install install -> install(install.snapshot());
      case ReplicaEffect.JoinCluster join -> joinCluster(join.clusterId());
      case ReplicaEffect.FoundCluster found -> foundCluster(found);
      case ReplicaEffect.Apply apply -> apply(apply.entry());
      case ReplicaEffect.Accepted accepted ->
          requests.onAccepted(accepted.token(), accepted.index());
      case ReplicaEffect.Rejected rejected -> requests.onRejected(rejected.token());
      case ReplicaEffect.ReadReady ready -> requests.onReadReady(ready.token(), nowMs());
      case ReplicaEffect.RoleChanged changed -> changeRole(changed);
    }
  }

  private void send(String address, Message message) {
    links.send(address, message, nowMs());
  }

  /**
   * Publishes changed documents and zones, once for all entries of a batch: after a start, all
   * versions but the newest are obsolete.
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

  /**
   * Returns the evacuated zones, or empty if the log is empty: then the disk may have been lost,
   * and the zones are not known.
   */
  private Optional<EvacuatedZones> knownZones() {
    return appliedIndex == 0 ? Optional.empty() : Optional.of(state.evacuatedZones());
  }

  /** Announces this replica to the others and updates their addresses. */
  private void discover(long nowMs) {
    discovery
        .dueAnnounce(nowMs)
        .ifPresent(
            announce -> {
              links.sendToAll(announce);
              links.reconnectSilent(nowMs);
              discovery.controlAddresses().forEach(address -> links.open(address, nowMs));
              replica.updateKnownAddresses(links.addresses(), nowMs);
              server.recordNeeded(discovery.peerCount());
            });
  }

  private void handleAnnounce(ControlEvent.Announced announced, long nowMs) {
    links.recordReceived(announced.announce().self().address(), nowMs);
    discovery.onAnnounce(
        announced.sender(), announced.announce(), state.documents(), knownZones(), nowMs);
  }

  private void apply(LogEntry entry) {
    CommandResult result = state.apply(entry);
    appliedIndex = entry.index();
    recordSettingsChange(result);
    onDocumentApplied(entry, result);
    logZoneChange(entry, result);
    if (entry.kind() == EntryKind.COMMAND) {
      requests.onApplied(entry.index(), result);
      completedJob(entry).ifPresent(requests::onJobEnded);
    }
  }

  private void onDocumentApplied(LogEntry entry, CommandResult result) {
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

  private void logZoneChange(LogEntry entry, CommandResult result) {
    if (result instanceof ZoneAccepted accepted) {
      EvacuatedZones zones = state.evacuatedZones();
      LOG.infof(
          "event=zonesApplied version=%d evacuated=%s index=%d",
          accepted.version(), zones.zones(), entry.index());
    }
  }

  private void recordSettingsChange(CommandResult result) {
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
      throw new IllegalStateException("can't decode a committed command", e);
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
      requests.onLeadershipLost();
    }
  }

  private void joinCluster(String clusterId) throws IOException {
    LOG.infof("event=clusterJoined cluster=%s replica=%s", clusterId, replica.id());
    journal.joinCluster(clusterId);
  }

  private void foundCluster(ReplicaEffect.FoundCluster found) throws IOException {
    LOG.infof(
        "event=clusterFounded cluster=%s replica=%s voters=%s",
        found.clusterId(),
        replica.id(),
        found.voters().voters().stream().map(ControlNode::describe).toList());
    journal.joinCluster(found.clusterId());
  }

  private static String describe(ReplicaInfo voter) {
    return voter.address().isEmpty() ? voter.replicaId() : voter.address();
  }

  private void install(LogSnapshot snapshot) throws IOException {
    journal.saveSnapshot(
        snapshot, replica.term(), replica.votedFor(), replica.entriesAfter(snapshot.lastIndex()));
    state = ControlState.fromBytes(snapshot.state());
    appliedIndex = snapshot.lastIndex();
    snapshotIndex = snapshot.lastIndex();
    documentsChanged = true;
    metrics.countSnapshot("installed");
    LOG.infof(
        "event=snapshotInstalled index=%d bytes=%d entriesAfter=%d",
        snapshot.lastIndex(), snapshot.state().size(), replica.lastIndex() - snapshot.lastIndex());
  }

  private void syncJournal() throws IOException {
    while (journal.hasUnsynced()) {
      long upTo = replica.lastIndex();
      journal.sync();
      step(new ReplicaEvent.Persisted(upTo), nowMs());
      metrics.recordLogSize(replica.logBytes(), journal.segmentBytes());
    }
  }

  private void saveSnapshotIfDue() throws IOException {
    if (!isSnapshotDue()) {
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
    metrics.countSnapshot("taken");
    metrics.recordLogSize(replica.logBytes(), journal.segmentBytes());
  }

  private boolean isSnapshotDue() {
    return appliedIndex - snapshotIndex >= settings.snapshotEntries()
        || replica.bytesBetween(snapshotIndex, appliedIndex) >= limits.snapshotBytes()
        || (journal.segmentBytes() > MAX_SEGMENT_BYTES && appliedIndex > snapshotIndex);
  }

  // Threads of connections.

  private static boolean isFromReplica(Message message) {
    return switch (message) {
      case VoteRequest m -> true;
      case VoteResponse m -> true;
      case AppendRequest m -> true;
      case AppendResponse m -> true;
      case SnapshotChunk m -> true;
      case SnapshotAck m -> true;
      case JoinRequest m -> true;
      case OriginalReplica m -> true;
      default -> false;
    };
  }

  private static boolean isFromClient(Message message) {
    return message instanceof ProposeRequest
        || message instanceof QueryRequest
        || message instanceof HeartbeatRequest;
  }

  /** Closes a connection that this replica opened if the peer sends anything on it. */
  private final class OutgoingHandler implements FrameHandler {
    @Override
    public void onMessage(FrameConnection connection, Message message) {
      connection.close();
    }

    @Override
    public void onClosed(FrameConnection connection) {}
  }

  /** Handles a connection that another process opened; its first message identifies the process. */
  private final class IncomingHandler implements FrameHandler {
    private Hello hello;

    @Override
    public void onMessage(FrameConnection connection, Message message) {
      if (hello == null) {
        handleHello(connection, message);
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

    private void handleHello(FrameConnection connection, Message message) {
      if (message instanceof Hello received
          && received.protocolVersion() == FrameConnection.PROTOCOL_VERSION) {
        hello = received;
      } else {
        metrics.countBadFrame();
        connection.close();
      }
    }

    @Override
    public void onClosed(FrameConnection connection) {}
  }

  /** Stops the replica. Entries that are not synced were not acknowledged. */
  @Override
  public void close() {
    closed = true;
    server.close();
    LockSupport.unpark(platformThread);
    loop.close(CLOSE_TIMEOUT_MS);
    // The control thread may open links until it has ended.
    links.close();
  }
}
