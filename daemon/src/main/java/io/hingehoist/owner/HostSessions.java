package io.hingehoist.owner;

import io.hingehoist.message.Announce;
import io.hingehoist.message.Hello;
import io.hingehoist.message.HostRooms;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import io.hingehoist.message.SessionAck;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.SessionProbe;
import io.hingehoist.message.SessionResumed;
import io.hingehoist.message.SessionUnknown;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.StopRun;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.PeerChannel;
import io.hingehoist.net.PeerHandler;
import io.hingehoist.net.PeerLink;
import io.hingehoist.net.PeerServer;
import io.hingehoist.net.SilenceDetector;
import io.hingehoist.run.HostRowsDecoder;
import io.hingehoist.run.OpenRuns;
import io.hingehoist.run.RunTiming;
import io.hingehoist.run.SessionStream;
import io.hingehoist.run.SilenceTimeouts;
import io.hingehoist.wire.FrameConnection;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The sessions of an owner with the hosts. Hosts open them; if a host has no session with this
 * owner, the owner announces itself at the host's address, as the host may not know of it.
 *
 * <p>A session outlasts its connection: when a connection breaks or falls silent, the host opens
 * another one and resumes the session on it. A session on which nothing is received for the
 * duration of the lease ends. Not thread-safe: confined to the event loop.
 */
final class HostSessions implements AutoCloseable {
  private static final long ANNOUNCE_INTERVAL_MS = 600;
  private static final long ANNOUNCE_CONNECTION_MS = 300;

  /** Handles the events of sessions. Called on the event loop. */
  interface Listener {
    /**
     * Called before a message of a host is handled, which may send messages at once. May end all
     * sessions.
     */
    void beforeMessage();

    /**
     * Called when a host opens a session, and again once it has confirmed that all runs of former
     * sessions are over.
     */
    void onOpened(String hostId, SessionOpened opened);

    /** Called for each message that this class does not handle itself. */
    void onMessage(String hostId, Message message);

    /**
     * Called when a session loses its connection, or nothing is received on it.
     *
     * @param heardAgoMs the time since the last message on the session's connection
     */
    void onSuspended(String hostId, long heardAgoMs);

    /** Called when a session resumes, on a new connection or on the one that was silent. */
    void onResumed(String hostId, long suspendedForMs, int repeatedMessages);

    /**
     * Called when a session has ended.
     *
     * @param mayHoldLease whether the host may still hold the lease of this owner
     * @param leaseRenewedAtMs the latest time at which that lease may have been renewed
     */
    void onLost(String hostId, boolean mayHoldLease, long leaseRenewedAtMs);

    /** Called when a host announces itself on its session. */
    void onAnnounce(Peer peer);

    /**
     * Called when a host probes whether its session still exists.
     *
     * @param replies accepts the proof
     */
    void onProbe(long number, Consumer<Message> replies);

    /** Returns whether a host is to report every change at once. */
    boolean follows(String hostId);
  }

  private static final class Session {
    private final long id;
    private final long hostIncarnation;
    private final SessionStream stream = SessionStream.create();
    private final OpenRuns openRuns = OpenRuns.create();
    private final long openedAtMs = EventLoop.nowMs();
    private Optional<PeerChannel> channel;
    private HostRowsDecoder receivedRows = HostRowsDecoder.create();
    private long suspendedAtMs;
    private long heartbeatSentAtMs;

    /** The host's statement that all runs of former sessions are over, until it is confirmed. */
    private Optional<SessionOpened> unconfirmedStatement = Optional.empty();

    /** The time at which the oldest run that may still be in progress was ordered. */
    private long oldestRunOrderedAtMs;

    /** Whether the connection is open but nothing is received on it. */
    private boolean silent;

    private Session(long id, long hostIncarnation, PeerChannel channel) {
      this.id = id;
      this.hostIncarnation = hostIncarnation;
      this.channel = Optional.of(channel);
    }

    private boolean usesChannel(PeerChannel other) {
      return channel.filter(other::equals).isPresent();
    }

    private boolean isReceiving() {
      return channel.isPresent() && !silent;
    }

    private boolean isIdle() {
      return openRuns.isEmpty();
    }

    private long silenceTimeoutMs(long nowMs) {
      return SilenceTimeouts.forHostMs(isIdle(), nowMs - openedAtMs);
    }

    /**
     * Returns the start of the silence on a connection. An idle host sends little, so the silence
     * of a session with runs starts no earlier than the first of these runs was ordered.
     */
    private long silentSinceMs(PeerChannel open) {
      return isIdle()
          ? open.lastReceivedAtMs()
          : Math.max(open.lastReceivedAtMs(), oldestRunOrderedAtMs);
    }
  }

  private final EventLoop loop;
  private final Peer self;
  private final long leaseMs;
  private final Metrics metrics;
  private final Listener listener;
  private final PeerServer server;
  private final Map<String, Session> sessions = new HashMap<>();
  private final Map<String, Long> announcedAtMs = new HashMap<>();
  private final SilenceDetector silenceDetector = SilenceDetector.create(EventLoop.nowMs());

  HostSessions(
      EventLoop loop,
      Peer self,
      String bindAddress,
      long leaseMs,
      Metrics metrics,
      Listener listener)
      throws IOException {
    this.loop = loop;
    this.self = self;
    this.leaseMs = leaseMs;
    this.metrics = metrics;
    this.listener = listener;
    this.server = PeerServer.open(loop, bindAddress, HostHandler::new, metrics);
  }

  /** Records how many hosts of the deployment connect to this owner. */
  void recordNeeded(int connections) {
    server.recordNeeded(connections);
  }

  /**
   * Sends a message on a session's connection. A message with guaranteed delivery is kept, and sent
   * again on the session's next connection until it is acknowledged.
   *
   * @param decidedAtMs the time of the decision to send it. A lease that is renewed for an order
   *     counts from then, so that it has expired if this process was paused in between
   */
  void send(String hostId, Message message, long decidedAtMs) {
    Session session = sessions.get(hostId);
    if (session == null) {
      return;
    }
    if (message instanceof StartRuns && session.isIdle()) {
      renewLease(hostId, session, decidedAtMs);
    }
    session.stream.recordSent(message);
    session.openRuns.apply(message);
    session.channel.ifPresent(channel -> channel.send(message));
  }

  /** Renews a host's lease before its first order: the lease of an idle host is left to expire. */
  private void renewLease(String hostId, Session session, long decidedAtMs) {
    session.oldestRunOrderedAtMs = decidedAtMs;
    session.channel.ifPresent(channel -> sendHeartbeat(hostId, session, channel, decidedAtMs));
  }

  /**
   * Sends a message to all connected hosts. It is not repeated to the others, which may receive its
   * content from other processes.
   */
  void sendToAll(Message message) {
    sessions
        .values()
        .forEach(session -> session.channel.ifPresent(channel -> channel.send(message)));
  }

  /** Sends due heartbeats and ends the sessions of silent hosts. Called at short intervals. */
  void onTick(long nowMs) {
    silenceDetector.onTick(nowMs);
    for (Map.Entry<String, Session> entry : List.copyOf(sessions.entrySet())) {
      checkSilence(entry.getKey(), entry.getValue(), nowMs);
    }
    sessions.forEach((hostId, session) -> sendHeartbeatIfDue(hostId, session, nowMs));
  }

  private void sendHeartbeatIfDue(String hostId, Session session, long nowMs) {
    long periodMs =
        session.isIdle() ? RunTiming.IDLE_HEARTBEAT_INTERVAL_MS : RunTiming.HEARTBEAT_INTERVAL_MS;
    if (nowMs - session.heartbeatSentAtMs >= periodMs) {
      session.channel.ifPresent(channel -> sendHeartbeat(hostId, session, channel, nowMs));
    }
  }

  private void sendHeartbeat(String hostId, Session session, PeerChannel channel, long nowMs) {
    session.heartbeatSentAtMs = nowMs;
    channel.send(new OwnerBeat(nowMs, listener.follows(hostId)));
  }

  private void checkSilence(String hostId, Session session, long nowMs) {
    if (session.channel.isEmpty()) {
      if (nowMs - session.suspendedAtMs >= leaseMs) {
        endSession(hostId, true, session.suspendedAtMs);
      }
      return;
    }
    long sinceMs = session.silentSinceMs(session.channel.get());
    if (silenceDetector.isSilent(
        sinceMs, session.isIdle() ? RunTiming.IDLE_SESSION_TIMEOUT_MS : leaseMs)) {
      endSession(hostId, true, nowMs);
    } else if (!session.silent
        && silenceDetector.isSilent(sinceMs, session.silenceTimeoutMs(nowMs))) {
      session.silent = true;
      session.suspendedAtMs = nowMs;
      listener.onSuspended(hostId, nowMs - session.channel.get().lastReceivedAtMs());
    }
  }

  /**
   * Closes a session's connection. No heartbeat is sent until the session resumes, so the host's
   * lease expires in time.
   */
  private void suspend(String hostId, Session session) {
    long nowMs = EventLoop.nowMs();
    PeerChannel previous = session.channel.orElseThrow();
    session.channel = Optional.empty();
    session.silent = false;
    session.suspendedAtMs = nowMs;
    previous.close();
    listener.onSuspended(hostId, nowMs - previous.lastReceivedAtMs());
  }

  /** Announces this owner to hosts that have no session with it or are silent on theirs. */
  void announceToMissing(List<Peer> hosts, long nowMs) {
    for (Peer host : hosts) {
      boolean due = nowMs - announcedAtMs.getOrDefault(host.address(), 0L) >= ANNOUNCE_INTERVAL_MS;
      if (due && !isReceiving(host.nodeId())) {
        announcedAtMs.put(host.address(), nowMs);
        announceTo(host);
      }
    }
  }

  private boolean isReceiving(String hostId) {
    Session session = sessions.get(hostId);
    return session != null && session.isReceiving();
  }

  private void announceTo(Peer host) {
    PeerLink link =
        PeerLink.open(
            loop,
            host.address(),
            self.address(),
            ANNOUNCE_CONNECTION_MS,
            this::hello,
            new AnnouncingHandler(host.nodeId()),
            metrics);
    loop.schedule(link::close, ANNOUNCE_CONNECTION_MS);
  }

  private Hello hello() {
    return new Hello(
        self.role(), self.nodeId(), self.incarnation(), "", FrameConnection.PROTOCOL_VERSION);
  }

  /** Sends a message to the connected hosts that may have runs; returns the number of hosts. */
  int sendToHostsWithRuns(Message message) {
    int sent = 0;
    for (Session session : sessions.values()) {
      if (!session.isIdle() && session.channel.isPresent()) {
        session.channel.get().send(message);
        sent++;
      }
    }
    return sent;
  }

  /** Ends every session. */
  void endAll() {
    long nowMs = EventLoop.nowMs();
    new ArrayList<>(sessions.keySet()).forEach(hostId -> endSession(hostId, true, nowMs));
  }

  private void endSession(String hostId, boolean mayHoldLease, long leaseRenewedAtMs) {
    Session session = sessions.remove(hostId);
    if (session != null) {
      session.channel.ifPresent(PeerChannel::close);
      listener.onLost(hostId, mayHoldLease, leaseRenewedAtMs);
    }
  }

  /** Handles a connection that a host opened. */
  private final class HostHandler implements PeerHandler {
    private Optional<Hello> host = Optional.empty();

    @Override
    public void onOpen(PeerChannel channel) {}

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      listener.beforeMessage();
      if (!channel.isOpen()) {
        return;
      }
      if (host.isPresent()) {
        handleMessage(host.get(), channel, message);
      } else if (message instanceof Hello hello && hello.role() == Role.AGENT) {
        host = Optional.of(hello);
      } else {
        metrics.countBadFrame();
        channel.close();
      }
    }

    private void handleMessage(Hello host, PeerChannel channel, Message message) {
      Session session = sessions.get(host.nodeId());
      if (session != null && session.usesChannel(channel)) {
        session.stream.recordReceived(message).ifPresent(channel::send);
        session.openRuns.apply(message);
        resumeIfSilent(host.nodeId(), session);
        handleMessage(host.nodeId(), session, message);
        return;
      }
      if (session != null && mayBeDelayed(host, session)) {
        channel.close();
        return;
      }
      switch (message) {
        case SessionOpened opened -> openSession(host, channel, opened);
        case SessionResumed resumed -> resumeSession(host, channel, resumed);
        // From a connection that was replaced.
        default -> {}
      }
    }

    /** Resumes a silent session: on a lossy network, a silent connection may recover. */
    private void resumeIfSilent(String hostId, Session session) {
      if (session.silent) {
        session.silent = false;
        listener.onResumed(hostId, EventLoop.nowMs() - session.suspendedAtMs, 0);
      }
    }

    /**
     * Returns whether a message comes from another process of the host while a session is receiving
     * messages. A host has one process at a time, so the message was probably delayed. A process
     * whose predecessor ended without notice connects again until that session is silent.
     */
    private boolean mayBeDelayed(Hello host, Session session) {
      return session.hostIncarnation != host.incarnation() && session.isReceiving();
    }

    /**
     * Returns whether a newer session of the same process is known. Session ids increase within an
     * incarnation, so a message with a lower id was delayed.
     */
    private boolean isOutdated(Hello host, SessionOpened opened) {
      Session known = sessions.get(host.nodeId());
      return known != null
          && known.hostIncarnation == host.incarnation()
          && opened.sessionId() < known.id;
    }

    private void openSession(Hello host, PeerChannel channel, SessionOpened opened) {
      if (isOutdated(host, opened)) {
        channel.close();
        return;
      }
      long nowMs = EventLoop.nowMs();
      endReplaced(host, nowMs);
      Session session = new Session(opened.sessionId(), host.incarnation(), channel);
      sessions.put(host.nodeId(), session);
      session.stream.recordReceived(opened);
      // Whether to follow this host is known only after it has sent more about itself.
      session.heartbeatSentAtMs = nowMs;
      channel.send(new OwnerBeat(nowMs, true));
      listener.onOpened(host.nodeId(), withoutStatement(opened));
      recordStatement(host.nodeId(), session, opened);
    }

    /**
     * Ends the session that a new one replaces. Its own process has ended it before it opened the
     * new one; another process may have sent the opening before that session.
     */
    private void endReplaced(Hello host, long nowMs) {
      Session replaced = sessions.get(host.nodeId());
      if (replaced != null) {
        boolean mayHoldLease = replaced.hostIncarnation != host.incarnation();
        long renewedAtMs = replaced.channel.isPresent() ? nowMs : replaced.suspendedAtMs;
        endSession(host.nodeId(), mayHoldLease, mayHoldLease ? renewedAtMs : nowMs);
      }
    }

    private SessionOpened withoutStatement(SessionOpened opened) {
      return new SessionOpened(
          opened.sessionId(), opened.hostId(), opened.hostIncarnation(), opened.zone(), false);
    }

    private void recordStatement(String hostId, Session session, SessionOpened opened) {
      if (opened.formerRunsOver()) {
        session.unconfirmedStatement = Optional.of(opened);
        confirmStatement(hostId, session);
      }
    }

    /**
     * Reports the host's statement on runs of former sessions once it has answered on the session's
     * connection. Without an answer, the statement may have been delayed, and the host may have
     * accepted runs on a later session, which has ended here since.
     */
    private void confirmStatement(String hostId, Session session) {
      if (session.unconfirmedStatement.isPresent()) {
        PeerChannel channel = session.channel.orElseThrow();
        channel.confirmOpen(() -> onConfirmed(hostId, session, channel));
      }
    }

    private void onConfirmed(String hostId, Session session, PeerChannel channel) {
      boolean current = sessions.get(hostId) == session && session.usesChannel(channel);
      if (current && session.unconfirmedStatement.isPresent()) {
        SessionOpened statement = session.unconfirmedStatement.get();
        session.unconfirmedStatement = Optional.empty();
        listener.onOpened(hostId, statement);
      }
    }

    private void resumeSession(Hello host, PeerChannel channel, SessionResumed resumed) {
      Session session = sessions.get(host.nodeId());
      boolean known =
          session != null
              && session.id == resumed.sessionId()
              && session.hostIncarnation == host.incarnation()
              && session.stream.recordAcknowledged(resumed.receivedCount());
      if (!known) {
        channel.send(new SessionUnknown(resumed.sessionId()));
        return;
      }
      if (session.channel.isPresent()) {
        suspend(host.nodeId(), session);
      }
      session.channel = Optional.of(channel);
      session.receivedRows = HostRowsDecoder.create();
      channel.send(new SessionResumed(session.id, session.stream.receivedCount()));
      repeatUnacknowledged(host.nodeId(), session, channel);
      confirmStatement(host.nodeId(), session);
      long suspendedForMs = EventLoop.nowMs() - session.suspendedAtMs;
      listener.onResumed(host.nodeId(), suspendedForMs, session.stream.unacknowledgedCount());
    }

    /**
     * Repeats the messages that the host has not acknowledged. The heartbeat follows the last stop,
     * as the connection may fail before the host receives it, and precedes the orders after that,
     * as the host refuses orders without a valid lease.
     */
    private void repeatUnacknowledged(String hostId, Session session, PeerChannel channel) {
      List<Message> messages = session.stream.unacknowledged();
      int heartbeatIndex = indexAfterLastStop(messages);
      messages.subList(0, heartbeatIndex).forEach(channel::send);
      sendHeartbeat(hostId, session, channel, EventLoop.nowMs());
      messages.subList(heartbeatIndex, messages.size()).forEach(channel::send);
    }

    private int indexAfterLastStop(List<Message> messages) {
      int index = messages.size();
      while (index > 0 && !(messages.get(index - 1) instanceof StopRun)) {
        index--;
      }
      return index;
    }

    private void handleMessage(String hostId, Session session, Message message) {
      switch (message) {
        case SessionOpened opened -> recordStatement(hostId, session, opened);
        case SessionAck ack -> handleAck(session, ack);
        case Announce announce -> listener.onAnnounce(announce.self());
        case SessionProbe probe ->
            session.channel.ifPresent(open -> listener.onProbe(probe.number(), open::send));
        case HostRows rows -> {
          session.receivedRows.recordFull(rows);
          listener.onMessage(hostId, rows);
        }
        case HostRooms rooms -> handleRooms(hostId, session, rooms);
        default -> listener.onMessage(hostId, message);
      }
    }

    private void handleAck(Session session, SessionAck ack) {
      if (!session.stream.recordAcknowledged(ack.receivedCount())) {
        metrics.countBadFrame();
        session.channel.ifPresent(PeerChannel::close);
      }
    }

    private void handleRooms(String hostId, Session session, HostRooms rooms) {
      Optional<HostRows> rows = session.receivedRows.decode(rooms);
      if (rows.isPresent()) {
        listener.onMessage(hostId, rows.get());
      } else {
        metrics.countBadFrame();
        session.channel.ifPresent(PeerChannel::close);
      }
    }

    /**
     * Suspends the session. If the host has ended, it refuses the next announcement connection,
     * which ends the session early.
     */
    @Override
    public void onClosed(PeerChannel channel) {
      host.map(hello -> sessions.get(hello.nodeId()))
          .filter(session -> session.usesChannel(channel))
          .ifPresent(session -> suspend(host.get().nodeId(), session));
    }
  }

  private final class AnnouncingHandler implements PeerHandler {
    private final String hostId;

    private AnnouncingHandler(String hostId) {
      this.hostId = hostId;
    }

    /**
     * Ends a suspended session at once, as no process accepts connections at the host's address.
     * The host's process may still be running; it then continues its runs until this owner's lease
     * expires there.
     */
    @Override
    public void onRefused() {
      Session session = sessions.get(hostId);
      if (session != null && session.channel.isEmpty()) {
        endSession(hostId, true, session.suspendedAtMs);
      }
    }

    @Override
    public void onOpen(PeerChannel channel) {
      channel.send(new Announce(self, List.of(), 0));
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {}

    @Override
    public void onClosed(PeerChannel channel) {}
  }

  @Override
  public void close() {
    server.close();
    sessions.values().forEach(session -> session.channel.ifPresent(PeerChannel::close));
  }
}
