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
 * The sessions of an owner with the hosts. Hosts open them; an owner that misses one makes itself
 * known at the host's address, as the host may not have heard of it.
 *
 * <p>A session outlasts its connection: in place of one that breaks or falls silent the host opens
 * another on which the session goes on. Unheard for the length of the lease, it is over. Owned by
 * the event loop.
 */
final class HostSessions implements AutoCloseable {
  private static final long KNOCK_PAUSE_MS = 600;
  private static final long KNOCK_OPEN_MS = 300;

  /** Takes what happens on sessions, on the event loop. */
  interface Listener {
    void onOpened(String hostId, SessionOpened opened);

    void onMessage(String hostId, Message message);

    /**
     * Notes that a session has no connection for now, or one on which nothing is heard.
     *
     * @param heardAgoMs the time since something was last heard on the last one
     */
    void onSuspended(String hostId, long heardAgoMs);

    /** Notes that a session goes on, on a new connection or the one that speaks again. */
    void onResumed(String hostId, long suspendedForMs, int repeatedMessages);

    /**
     * Notes that a session is over.
     *
     * @param silent whether the host may still hold the lease of this owner
     * @param leaseSinceMs when that lease may last have been renewed
     */
    void onLost(String hostId, boolean silent, long leaseSinceMs);

    void onAnnounce(Peer peer);

    /**
     * Notes that a host asks for a proof that its session goes on.
     *
     * @param answers takes the proof
     */
    void onProbe(long number, Consumer<Message> answers);

    /** Returns whether a host is to show each change at once. */
    boolean follows(String hostId);
  }

  private static final class Session {
    private final long id;
    private final long hostIncarnation;
    private final SessionStream stream = SessionStream.create();
    private final OpenRuns openRuns = OpenRuns.create();
    private final long beganAtMs = EventLoop.nowMs();
    private Optional<PeerChannel> channel;
    private HostRowsDecoder rows = HostRowsDecoder.create();
    private long suspendedAtMs;
    private long beatAtMs;

    /** When the oldest of the runs that may be going on was ordered. */
    private long runsSinceMs;

    /** Whether the connection is open but nothing is heard on it. */
    private boolean unheard;

    private Session(long id, long hostIncarnation, PeerChannel channel) {
      this.id = id;
      this.hostIncarnation = hostIncarnation;
      this.channel = Optional.of(channel);
    }

    private boolean isOn(PeerChannel other) {
      return channel.filter(other::equals).isPresent();
    }

    private boolean isIdle() {
      return openRuns.isEmpty();
    }

    private long silentAfterMs(long nowMs) {
      return SilenceTimeouts.forHostMs(isIdle(), nowMs - beganAtMs);
    }

    /** A host that had little to say is not silent yet when the first run is ordered there. */
    private long silentSinceMs(PeerChannel open) {
      return isIdle() ? open.heardAtMs() : Math.max(open.heardAtMs(), runsSinceMs);
    }
  }

  private final EventLoop loop;
  private final Peer self;
  private final long silenceMs;
  private final Metrics metrics;
  private final Listener listener;
  private final PeerServer server;
  private final Map<String, Session> sessions = new HashMap<>();
  private final Map<String, Long> knockedAtMs = new HashMap<>();
  private final SilenceDetector watch = SilenceDetector.create(EventLoop.nowMs());

  HostSessions(
      EventLoop loop,
      Peer self,
      String bindAddress,
      long silenceMs,
      Metrics metrics,
      Listener listener)
      throws IOException {
    this.loop = loop;
    this.self = self;
    this.silenceMs = silenceMs;
    this.metrics = metrics;
    this.listener = listener;
    this.server = PeerServer.open(loop, bindAddress, HostHandler::new, metrics);
  }

  /** Sends a message on a session's connection, or on its next one if it must arrive. */
  void send(String hostId, Message message) {
    Session session = sessions.get(hostId);
    if (session == null) {
      return;
    }
    if (message instanceof StartRuns && session.isIdle()) {
      takeUpLease(hostId, session);
    }
    session.stream.recordSent(message);
    session.openRuns.record(message);
    session.channel.ifPresent(channel -> channel.send(message));
  }

  /** Where nothing ran the lease was left to end, so the first order comes with a new one. */
  private void takeUpLease(String hostId, Session session) {
    session.runsSinceMs = EventLoop.nowMs();
    session.channel.ifPresent(channel -> beat(hostId, session, channel));
  }

  /** Sends a message that each host may also hear elsewhere, to those that are connected. */
  void sendToAll(Message message) {
    sessions
        .values()
        .forEach(session -> session.channel.ifPresent(channel -> channel.send(message)));
  }

  /** Beats, and gives up hosts that are silent. Called at short intervals. */
  void onTick(long nowMs) {
    watch.onTick(nowMs);
    for (Map.Entry<String, Session> entry : List.copyOf(sessions.entrySet())) {
      check(entry.getKey(), entry.getValue(), nowMs);
    }
    sessions.forEach((hostId, session) -> beatIfDue(hostId, session, nowMs));
  }

  private void beatIfDue(String hostId, Session session, long nowMs) {
    long periodMs =
        session.isIdle() ? RunTiming.IDLE_HEARTBEAT_PERIOD_MS : RunTiming.HEARTBEAT_PERIOD_MS;
    if (nowMs - session.beatAtMs >= periodMs) {
      session.channel.ifPresent(channel -> beat(hostId, session, channel));
    }
  }

  private void beat(String hostId, Session session, PeerChannel channel) {
    session.beatAtMs = EventLoop.nowMs();
    channel.send(new OwnerBeat(session.beatAtMs, listener.follows(hostId)));
  }

  private void check(String hostId, Session session, long nowMs) {
    if (session.channel.isEmpty()) {
      if (nowMs - session.suspendedAtMs >= silenceMs) {
        lose(hostId, true, session.suspendedAtMs);
      }
      return;
    }
    long sinceMs = session.silentSinceMs(session.channel.get());
    if (watch.isSilent(sinceMs, session.isIdle() ? RunTiming.IDLE_SESSION_TIMEOUT_MS : silenceMs)) {
      lose(hostId, true, nowMs);
    } else if (!session.unheard && watch.isSilent(sinceMs, session.silentAfterMs(nowMs))) {
      session.unheard = true;
      session.suspendedAtMs = nowMs;
      listener.onSuspended(hostId, nowMs - session.channel.get().heardAtMs());
    }
  }

  /** No heartbeat is sent from now on, so the host's lease is over in time. */
  private void suspend(String hostId, Session session) {
    long nowMs = EventLoop.nowMs();
    PeerChannel former = session.channel.orElseThrow();
    session.channel = Optional.empty();
    session.unheard = false;
    session.suspendedAtMs = nowMs;
    former.close();
    listener.onSuspended(hostId, nowMs - former.heardAtMs());
  }

  /** Makes this owner known to hosts that have no session with it, or are not heard on theirs. */
  void knock(List<Peer> hosts, long nowMs) {
    for (Peer host : hosts) {
      boolean due = nowMs - knockedAtMs.getOrDefault(host.address(), 0L) >= KNOCK_PAUSE_MS;
      if (due && !isHeard(host.nodeId())) {
        knockedAtMs.put(host.address(), nowMs);
        knock(host);
      }
    }
  }

  private boolean isHeard(String hostId) {
    Session session = sessions.get(hostId);
    return session != null && session.channel.isPresent() && !session.unheard;
  }

  private void knock(Peer host) {
    PeerLink link =
        PeerLink.open(
            loop,
            host.address(),
            self.address(),
            KNOCK_OPEN_MS,
            this::hello,
            new KnockHandler(host.nodeId()),
            metrics);
    loop.schedule(link::close, KNOCK_OPEN_MS);
  }

  private Hello hello() {
    return new Hello(
        self.role(), self.nodeId(), self.incarnation(), "", FrameConnection.PROTOCOL_VERSION);
  }

  /** Sends a message to the hosts where runs may be going on; returns how many were sent it. */
  int sendWhereRunsAre(Message message) {
    int sent = 0;
    for (Session session : sessions.values()) {
      if (!session.isIdle() && session.channel.isPresent()) {
        session.channel.get().send(message);
        sent++;
      }
    }
    return sent;
  }

  /** Gives every session up. */
  void loseAll() {
    long nowMs = EventLoop.nowMs();
    new ArrayList<>(sessions.keySet()).forEach(hostId -> lose(hostId, true, nowMs));
  }

  private void lose(String hostId, boolean silent, long leaseSinceMs) {
    Session session = sessions.remove(hostId);
    if (session != null) {
      session.channel.ifPresent(PeerChannel::close);
      listener.onLost(hostId, silent, leaseSinceMs);
    }
  }

  /** Takes what comes on a connection that a host opened. */
  private final class HostHandler implements PeerHandler {
    private Optional<Hello> host = Optional.empty();

    @Override
    public void onOpen(PeerChannel channel) {}

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      if (host.isPresent()) {
        receive(host.get(), channel, message);
      } else if (message instanceof Hello hello && hello.role() == Role.AGENT) {
        host = Optional.of(hello);
      } else {
        metrics.countBadFrame();
        channel.close();
      }
    }

    private void receive(Hello host, PeerChannel channel, Message message) {
      Session session = sessions.get(host.nodeId());
      if (session != null && session.isOn(channel)) {
        session.stream.recordReceived(message).ifPresent(channel::send);
        session.openRuns.record(message);
        noteHeard(host.nodeId(), session);
        receive(host.nodeId(), session, message);
        return;
      }
      switch (message) {
        case SessionOpened opened -> begin(host, channel, opened);
        case SessionResumed resumed -> resume(host, channel, resumed);
        // The rest of a connection that was replaced.
        default -> {}
      }
    }

    /** On a link that loses packets, a connection that seemed silent may speak again. */
    private void noteHeard(String hostId, Session session) {
      if (session.unheard) {
        session.unheard = false;
        listener.onResumed(hostId, EventLoop.nowMs() - session.suspendedAtMs, 0);
      }
    }

    /** The number of a session rises within an incarnation, so a lower one came late. */
    private boolean isReplaced(Hello host, SessionOpened opened) {
      Session known = sessions.get(host.nodeId());
      return known != null
          && known.hostIncarnation == host.incarnation()
          && opened.sessionId() < known.id;
    }

    private void begin(Hello host, PeerChannel channel, SessionOpened opened) {
      if (isReplaced(host, opened)) {
        channel.close();
        return;
      }
      long nowMs = EventLoop.nowMs();
      lose(host.nodeId(), false, nowMs);
      Session session = new Session(opened.sessionId(), host.incarnation(), channel);
      sessions.put(host.nodeId(), session);
      session.stream.recordReceived(opened);
      // Whether this host will be followed is known only once it has said more of itself.
      session.beatAtMs = nowMs;
      channel.send(new OwnerBeat(nowMs, true));
      listener.onOpened(host.nodeId(), opened);
    }

    private void resume(Hello host, PeerChannel channel, SessionResumed resumed) {
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
      session.rows = HostRowsDecoder.create();
      channel.send(new SessionResumed(session.id, session.stream.receivedCount()));
      beat(host.nodeId(), session, channel);
      session.stream.unacknowledged().forEach(channel::send);
      long suspendedForMs = EventLoop.nowMs() - session.suspendedAtMs;
      listener.onResumed(host.nodeId(), suspendedForMs, session.stream.unacknowledgedCount());
    }

    private void receive(String host, Session session, Message message) {
      switch (message) {
        case SessionOpened opened -> listener.onOpened(host, opened);
        case SessionAck ack -> take(session, ack);
        case Announce announce -> listener.onAnnounce(announce.self());
        case SessionProbe probe ->
            session.channel.ifPresent(open -> listener.onProbe(probe.number(), open::send));
        case HostRows rows -> {
          session.rows.recordFull(rows);
          listener.onMessage(host, rows);
        }
        case HostRooms rooms -> receive(host, session, rooms);
        default -> listener.onMessage(host, message);
      }
    }

    private void take(Session session, SessionAck ack) {
      if (!session.stream.recordAcknowledged(ack.receivedCount())) {
        metrics.countBadFrame();
        session.channel.ifPresent(PeerChannel::close);
      }
    }

    private void receive(String host, Session session, HostRooms rooms) {
      Optional<HostRows> rows = session.rows.decode(rooms);
      if (rows.isPresent()) {
        listener.onMessage(host, rows.get());
      } else {
        metrics.countBadFrame();
        session.channel.ifPresent(PeerChannel::close);
      }
    }

    /** A host that has ended refuses the knock, so that its session need not wait for it. */
    @Override
    public void onClosed(PeerChannel channel) {
      host.map(hello -> sessions.get(hello.nodeId()))
          .filter(session -> session.isOn(channel))
          .ifPresent(session -> suspend(host.get().nodeId(), session));
    }
  }

  private final class KnockHandler implements PeerHandler {
    private final String hostId;

    private KnockHandler(String hostId) {
      this.hostId = hostId;
    }

    /**
     * Nobody listens there now, so the session need not be waited for. Whether its process is gone
     * is not known, and one that goes on keeps the runs until its lease of this owner is over.
     */
    @Override
    public void onRefused() {
      Session session = sessions.get(hostId);
      if (session != null && session.channel.isEmpty()) {
        lose(hostId, true, session.suspendedAtMs);
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
