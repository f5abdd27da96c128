package io.hingehoist.host;

import io.hingehoist.message.Hello;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.Peer;
import io.hingehoist.message.SessionAck;
import io.hingehoist.message.SessionResumed;
import io.hingehoist.message.SessionUnknown;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.PeerChannel;
import io.hingehoist.net.PeerHandler;
import io.hingehoist.net.PeerLink;
import io.hingehoist.net.SilenceDetector;
import io.hingehoist.run.HostRowsEncoder;
import io.hingehoist.run.SessionStream;
import io.hingehoist.run.SilenceTimeouts;
import io.hingehoist.wire.FrameConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The sessions of a host with all owners that it knows of, and their connections. A session
 * outlasts its connection for the duration of the owner's lease: a connection that breaks or falls
 * silent is replaced, and the session resumes where it was interrupted. Not thread-safe: confined
 * to the event loop.
 */
final class OwnerLinks implements AutoCloseable {
  /** The timeout before a session opens: that of a session whose owner has runs here. */
  private static final long SILENCE_TIMEOUT_MS = SilenceTimeouts.forOwnerMs(false, Long.MAX_VALUE);

  /** Handles the events of sessions. Called on the event loop. */
  interface Listener {
    /** Called when a session opens. */
    void onOpened(long sessionId, String ownerId);

    /** Called when a session resumes on a new connection. */
    void onResumed(long sessionId);

    /** Called for each message that this class does not handle itself. */
    void onMessage(long sessionId, Message message);

    /** Called when a session has ended and can't be resumed, with the reason. */
    void onEnded(long sessionId, String reason);

    /**
     * Called when a session loses its connection.
     *
     * @param heardAgoMs the time since the last message on the session's connection
     */
    void onSuspended(long sessionId, String ownerId, long heardAgoMs);

    /** Returns whether a session has runs that are not over. */
    boolean hasRuns(long sessionId);
  }

  private static final class Session {
    private final long id;
    private final SessionStream stream = SessionStream.create();
    private final long openedAtMs;
    private Optional<PeerChannel> channel;
    private HostRowsEncoder sentRows = HostRowsEncoder.create();
    private long heartbeatReceivedAtMs;

    private Session(PeerChannel channel, long nowMs) {
      this.id = channel.id();
      this.heartbeatReceivedAtMs = nowMs;
      this.openedAtMs = nowMs;
      this.channel = Optional.of(channel);
    }

    private boolean usesChannel(PeerChannel other) {
      return channel.filter(other::equals).isPresent();
    }
  }

  private final EventLoop loop;
  private final Peer self;
  private final Metrics metrics;
  private final Listener listener;
  private final SilenceDetector silenceDetector = SilenceDetector.create(EventLoop.nowMs());
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Map<String, Session> sessionsByOwner = new HashMap<>();

  OwnerLinks(EventLoop loop, Peer self, Metrics metrics, Listener listener) {
    this.loop = loop;
    this.self = self;
    this.metrics = metrics;
    this.listener = listener;
  }

  /** Opens links to new owners and closes the links to owners that are no longer listed. */
  void setOwners(List<Peer> owners) {
    Set<String> addresses = owners.stream().map(Peer::address).collect(Collectors.toSet());
    for (String address : addresses) {
      links.computeIfAbsent(address, this::open);
    }
    for (String address : Set.copyOf(links.keySet())) {
      if (!addresses.contains(address)) {
        links.remove(address).close();
      }
    }
  }

  private PeerLink open(String address) {
    return PeerLink.open(
        loop,
        address,
        self.address(),
        SILENCE_TIMEOUT_MS,
        this::hello,
        new OwnerHandler(address),
        metrics);
  }

  private Hello hello() {
    return new Hello(
        self.role(), self.nodeId(), self.incarnation(), "", FrameConnection.PROTOCOL_VERSION);
  }

  void onTick(long nowMs) {
    silenceDetector.onTick(nowMs);
    links.forEach((owner, link) -> checkLink(owner, link, nowMs));
    Map.copyOf(sessionsByOwner).forEach(this::replaceWithoutHeartbeat);
  }

  private void checkLink(String owner, PeerLink link, long nowMs) {
    Session session = sessionsByOwner.get(owner);
    link.setSilenceTimeoutMs(
        session == null ? SILENCE_TIMEOUT_MS : silenceTimeoutMs(session, nowMs));
    link.onTick(nowMs);
  }

  private long silenceTimeoutMs(Session session, long nowMs) {
    boolean idle = !listener.hasRuns(session.id);
    return SilenceTimeouts.forOwnerMs(idle, nowMs - session.openedAtMs);
  }

  private void replaceWithoutHeartbeat(String owner, Session session) {
    PeerLink link = links.get(owner);
    if (link != null
        && session.channel.isPresent()
        && silenceDetector.isSilent(session.heartbeatReceivedAtMs, link.silenceTimeoutMs())) {
      link.replace();
    }
  }

  /**
   * Sends a message on a session's connection. A message with guaranteed delivery is kept, and sent
   * again on the session's next connection until it is acknowledged.
   */
  void send(long sessionId, Message message) {
    find(sessionId)
        .ifPresent(
            session -> {
              session.stream.recordSent(message);
              session.channel.ifPresent(channel -> channel.send(encode(session, message)));
            });
  }

  /**
   * Replaces the connection to an owner that announced itself here although it has a session, if
   * nothing was received on that connection for a while. Such a connection may be silent without a
   * missed heartbeat, as heartbeats are rare without runs. An owner from which something was just
   * received has merely not read this host's messages yet, and a new connection would add to its
   * load.
   */
  void replaceIfSilent(Peer owner) {
    PeerLink link = links.get(owner.address());
    if (link == null) {
      return;
    }
    long nowMs = EventLoop.nowMs();
    link.channel()
        .filter(channel -> nowMs - channel.lastReceivedAtMs() >= SILENCE_TIMEOUT_MS)
        .ifPresent(channel -> link.replace());
  }

  /**
   * Sends a message to all connected owners. It is not repeated to the others, which may receive
   * its content from other processes.
   */
  void sendToAll(Message message) {
    sessionsByOwner
        .values()
        .forEach(session -> session.channel.ifPresent(channel -> channel.send(message)));
  }

  private static Message encode(Session session, Message message) {
    return message instanceof HostRows rows ? session.sentRows.encode(rows) : message;
  }

  private Optional<Session> find(long sessionId) {
    return sessionsByOwner.values().stream().filter(s -> s.id == sessionId).findFirst();
  }

  /** Ends a session on this host's side and closes its connection. */
  void close(long sessionId) {
    find(sessionId)
        .ifPresent(
            session -> {
              sessionsByOwner.values().remove(session);
              session.channel.ifPresent(PeerChannel::close);
            });
  }

  private void endSession(String owner, String reason) {
    Session session = sessionsByOwner.remove(owner);
    if (session != null) {
      listener.onEnded(session.id, reason);
    }
  }

  private final class OwnerHandler implements PeerHandler {
    private final String owner;

    private OwnerHandler(String owner) {
      this.owner = owner;
    }

    @Override
    public void onOpen(PeerChannel channel) {
      Session session = sessionsByOwner.get(owner);
      if (session == null) {
        openSession(channel);
      } else {
        channel.send(new SessionResumed(session.id, session.stream.receivedCount()));
      }
    }

    private void openSession(PeerChannel channel) {
      Session session = new Session(channel, EventLoop.nowMs());
      sessionsByOwner.put(owner, session);
      listener.onOpened(session.id, owner);
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      Session session = sessionsByOwner.get(owner);
      if (session == null) {
        // The session ended, with its lease, after the connection was opened.
        channel.close();
        return;
      }
      switch (message) {
        case SessionResumed resumed -> resumeSession(session, channel, resumed);
        case SessionUnknown unknown -> restartSession(session, channel, unknown);
        case SessionAck ack -> handleAck(session, channel, ack);
        default -> handleMessage(session, channel, message);
      }
    }

    private void handleMessage(Session session, PeerChannel channel, Message message) {
      if (session.usesChannel(channel)) {
        session.stream.recordReceived(message).ifPresent(channel::send);
        if (message instanceof OwnerBeat) {
          session.heartbeatReceivedAtMs = EventLoop.nowMs();
        }
        listener.onMessage(session.id, message);
      }
    }

    private void handleAck(Session session, PeerChannel channel, SessionAck ack) {
      if (!session.stream.recordAcknowledged(ack.receivedCount())) {
        closeInvalid(channel);
      }
    }

    /** Closes a connection whose other end refers to another session. */
    private void closeInvalid(PeerChannel channel) {
      metrics.countBadFrame();
      channel.close();
    }

    private void resumeSession(Session session, PeerChannel channel, SessionResumed resumed) {
      boolean sameSession = resumed.sessionId() == session.id;
      if (!sameSession || !session.stream.recordAcknowledged(resumed.receivedCount())) {
        closeInvalid(channel);
        return;
      }
      session.channel = Optional.of(channel);
      session.heartbeatReceivedAtMs = EventLoop.nowMs();
      session.sentRows = HostRowsEncoder.create();
      session.stream.unacknowledged().forEach(channel::send);
      listener.onResumed(session.id);
    }

    private void restartSession(Session session, PeerChannel channel, SessionUnknown unknown) {
      if (unknown.sessionId() == session.id) {
        endSession(owner, "session unknown to owner");
        openSession(channel);
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {
      Session session = sessionsByOwner.get(owner);
      if (session != null && session.usesChannel(channel)) {
        session.channel = Optional.empty();
        listener.onSuspended(session.id, owner, EventLoop.nowMs() - channel.lastReceivedAtMs());
      }
    }

    @Override
    public void onRefused() {
      endSession(owner, "owner refused connection");
    }
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
  }
}
