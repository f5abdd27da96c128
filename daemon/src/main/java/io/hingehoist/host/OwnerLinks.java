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
 * The sessions of a host with every owner that it knows of, and their connections. A session
 * outlasts its connection for as long as the owner's lease: one that breaks or falls silent is
 * replaced, and the session goes on where it stood. Owned by the event loop.
 */
final class OwnerLinks implements AutoCloseable {
  /** Until a session has begun: as for one whose owner has runs here. */
  private static final long SILENT_AFTER_MS = SilenceTimeouts.forOwnerMs(false, Long.MAX_VALUE);

  /** Takes what happens on sessions, on the event loop. */
  interface Listener {
    void onBegan(long sessionId, String ownerId);

    /** Notes that a session goes on on a new connection. */
    void onResumed(long sessionId);

    void onMessage(long sessionId, Message message);

    /** Notes that a session can't go on, and why. */
    void onEnded(long sessionId, String reason);

    /**
     * Notes that a session has no connection for now.
     *
     * @param heardAgoMs the time since something was last heard on the last one
     */
    void onSuspended(long sessionId, String ownerId, long heardAgoMs);

    /** Returns whether runs of a session are not over. */
    boolean hasRuns(long sessionId);
  }

  private static final class Session {
    private final long id;
    private final SessionStream stream = SessionStream.create();
    private final long beganAtMs;
    private Optional<PeerChannel> channel;
    private HostRowsEncoder rows = HostRowsEncoder.create();
    private long beatAtMs;

    private Session(PeerChannel channel, long nowMs) {
      this.id = channel.id();
      this.beatAtMs = nowMs;
      this.beganAtMs = nowMs;
      this.channel = Optional.of(channel);
    }

    private boolean isOn(PeerChannel other) {
      return channel.filter(other::equals).isPresent();
    }
  }

  private final EventLoop loop;
  private final Peer self;
  private final Metrics metrics;
  private final Listener listener;
  private final SilenceDetector watch = SilenceDetector.create(EventLoop.nowMs());
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Map<String, Session> sessionsByOwner = new HashMap<>();

  OwnerLinks(EventLoop loop, Peer self, Metrics metrics, Listener listener) {
    this.loop = loop;
    this.self = self;
    this.metrics = metrics;
    this.listener = listener;
  }

  /** Opens links to owners that are new, and closes those to owners that are forgotten. */
  void follow(List<Peer> owners) {
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
        SILENT_AFTER_MS,
        this::hello,
        new OwnerHandler(address),
        metrics);
  }

  private Hello hello() {
    return new Hello(
        self.role(), self.nodeId(), self.incarnation(), "", FrameConnection.PROTOCOL_VERSION);
  }

  void onTick(long nowMs) {
    watch.onTick(nowMs);
    links.forEach((owner, link) -> tick(owner, link, nowMs));
    Map.copyOf(sessionsByOwner).forEach(this::replaceIfSilent);
  }

  private void tick(String owner, PeerLink link, long nowMs) {
    Session session = sessionsByOwner.get(owner);
    link.replaceAfterSilenceOf(session == null ? SILENT_AFTER_MS : silentAfterMs(session, nowMs));
    link.onTick(nowMs);
  }

  private long silentAfterMs(Session session, long nowMs) {
    boolean idle = !listener.hasRuns(session.id);
    return SilenceTimeouts.forOwnerMs(idle, nowMs - session.beganAtMs);
  }

  private void replaceIfSilent(String owner, Session session) {
    PeerLink link = links.get(owner);
    if (link != null
        && session.channel.isPresent()
        && watch.isSilent(session.beatAtMs, link.silentAfterMs())) {
      link.replace();
    }
  }

  /** Sends a message on a session's connection, or on its next one if it must arrive. */
  void send(long sessionId, Message message) {
    find(sessionId)
        .ifPresent(
            session -> {
              session.stream.recordSent(message);
              session.channel.ifPresent(channel -> channel.send(shortest(session, message)));
            });
  }

  /**
   * Opens another connection to an owner that made itself known here though a session with it goes
   * on, if it was not heard for a while on the one that is open: that one has fallen silent, where
   * nothing ran perhaps, so that no heartbeat is missed yet. An owner that was just heard has only
   * not read yet what this host said, and a new connection would cost it more.
   */
  void replaceFor(Peer owner) {
    PeerLink link = links.get(owner.address());
    if (link == null) {
      return;
    }
    long nowMs = EventLoop.nowMs();
    link.channel()
        .filter(channel -> nowMs - channel.heardAtMs() >= SILENT_AFTER_MS)
        .ifPresent(channel -> link.replace());
  }

  /** Sends a message that each owner may also hear elsewhere, to those that are connected. */
  void sendToAll(Message message) {
    sessionsByOwner
        .values()
        .forEach(session -> session.channel.ifPresent(channel -> channel.send(message)));
  }

  private static Message shortest(Session session, Message message) {
    return message instanceof HostRows rows ? session.rows.encode(rows) : message;
  }

  private Optional<Session> find(long sessionId) {
    return sessionsByOwner.values().stream().filter(s -> s.id == sessionId).findFirst();
  }

  /** Ends a session on this host's side, and its connection. */
  void close(long sessionId) {
    find(sessionId)
        .ifPresent(
            session -> {
              sessionsByOwner.values().remove(session);
              session.channel.ifPresent(PeerChannel::close);
            });
  }

  private void end(String owner, String reason) {
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
        begin(channel);
      } else {
        channel.send(new SessionResumed(session.id, session.stream.receivedCount()));
      }
    }

    private void begin(PeerChannel channel) {
      Session session = new Session(channel, EventLoop.nowMs());
      sessionsByOwner.put(owner, session);
      listener.onBegan(session.id, owner);
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      Session session = sessionsByOwner.get(owner);
      if (session == null) {
        // Its lease is over since the connection was opened.
        channel.close();
        return;
      }
      switch (message) {
        case SessionResumed resumed -> resume(session, channel, resumed);
        case SessionUnknown unknown -> beginAnew(session, channel, unknown);
        case SessionAck ack -> take(session, channel, ack);
        default -> receive(session, channel, message);
      }
    }

    private void receive(Session session, PeerChannel channel, Message message) {
      if (session.isOn(channel)) {
        session.stream.recordReceived(message).ifPresent(channel::send);
        if (message instanceof OwnerBeat) {
          session.beatAtMs = EventLoop.nowMs();
        }
        listener.onMessage(session.id, message);
      }
    }

    private void take(Session session, PeerChannel channel, SessionAck ack) {
      if (!session.stream.recordAcknowledged(ack.receivedCount())) {
        refuse(channel);
      }
    }

    /** Gives up a connection whose other end speaks of another session than this one. */
    private void refuse(PeerChannel channel) {
      metrics.countBadFrame();
      channel.close();
    }

    private void resume(Session session, PeerChannel channel, SessionResumed resumed) {
      boolean same = resumed.sessionId() == session.id;
      if (!same || !session.stream.recordAcknowledged(resumed.receivedCount())) {
        refuse(channel);
        return;
      }
      session.channel = Optional.of(channel);
      session.beatAtMs = EventLoop.nowMs();
      session.rows = HostRowsEncoder.create();
      session.stream.unacknowledged().forEach(channel::send);
      listener.onResumed(session.id);
    }

    private void beginAnew(Session session, PeerChannel channel, SessionUnknown unknown) {
      if (unknown.sessionId() == session.id) {
        end(owner, "owner does not know it");
        begin(channel);
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {
      Session session = sessionsByOwner.get(owner);
      if (session != null && session.isOn(channel)) {
        session.channel = Optional.empty();
        listener.onSuspended(session.id, owner, EventLoop.nowMs() - channel.heardAtMs());
      }
    }

    @Override
    public void onRefused() {
      end(owner, "owner is gone");
    }
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
  }
}
