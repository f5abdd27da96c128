package io.hingehoist.owner;

import io.hingehoist.message.Announce;
import io.hingehoist.message.Hello;
import io.hingehoist.message.HostRooms;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.PeerChannel;
import io.hingehoist.net.PeerHandler;
import io.hingehoist.net.PeerLink;
import io.hingehoist.net.PeerServer;
import io.hingehoist.run.ReceivedRows;
import io.hingehoist.wire.FrameConnection;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The sessions of an owner with the hosts. Hosts open them; an owner that misses one makes itself
 * known at the host's address, as the host may not have heard of it. Owned by the event loop.
 */
final class HostSessions implements AutoCloseable {
  /** A lease of 650 ms is left with 400 for what holds a beat up. */
  private static final long BEAT_MS = 250;

  private static final long KNOCK_PAUSE_MS = 600;
  private static final long KNOCK_OPEN_MS = 300;

  /** Takes what happens on sessions, on the event loop. */
  interface Listener {
    void onOpened(String hostId, SessionOpened opened);

    void onMessage(String hostId, Message message);

    /**
     * Notes that a session is over.
     *
     * @param silent whether this owner gave it up
     * @param heardAgoMs the time since something was last heard on it
     */
    void onLost(String hostId, boolean silent, long heardAgoMs);

    void onAnnounce(Peer peer);

    /** Returns whether a host is to show each change at once. */
    boolean follows(String hostId);
  }

  private static final class Session {
    private final PeerChannel channel;
    private final long beganAtMs;
    private final ReceivedRows rows = ReceivedRows.create();

    private Session(PeerChannel channel, long nowMs) {
      this.channel = channel;
      this.beganAtMs = nowMs;
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
  private long beatAtMs;

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

  void send(String hostId, Message message) {
    Session session = sessions.get(hostId);
    if (session != null) {
      session.channel.send(message);
    }
  }

  /** Beats, and gives up hosts that are silent. Called at short intervals. */
  void onTick(long nowMs) {
    if (nowMs - beatAtMs < BEAT_MS) {
      return;
    }
    beatAtMs = nowMs;
    for (Map.Entry<String, Session> entry : List.copyOf(sessions.entrySet())) {
      Session session = entry.getValue();
      session.channel.send(new OwnerBeat(nowMs, listener.follows(entry.getKey())));
      if (nowMs - Math.max(session.channel.heardAtMs(), session.beganAtMs) >= silenceMs) {
        lose(entry.getKey(), true);
      }
    }
  }

  /** Makes this owner known to hosts that have no session with it. */
  void knock(List<Peer> hosts, long nowMs) {
    for (Peer host : hosts) {
      boolean due = nowMs - knockedAtMs.getOrDefault(host.address(), 0L) >= KNOCK_PAUSE_MS;
      if (due && !sessions.containsKey(host.nodeId())) {
        knockedAtMs.put(host.address(), nowMs);
        knock(host.address());
      }
    }
  }

  private void knock(String address) {
    PeerLink link =
        PeerLink.open(loop, address, self.address(), this::hello, new KnockHandler(), metrics);
    loop.schedule(link::close, KNOCK_OPEN_MS);
  }

  private Hello hello() {
    return new Hello(
        self.role(), self.nodeId(), self.incarnation(), "", FrameConnection.PROTOCOL_VERSION);
  }

  /** Gives every session up. */
  void loseAll() {
    new ArrayList<>(sessions.keySet()).forEach(hostId -> lose(hostId, true));
  }

  private void lose(String hostId, boolean silent) {
    Session session = sessions.remove(hostId);
    if (session != null) {
      session.channel.close();
      listener.onLost(hostId, silent, EventLoop.nowMs() - session.channel.heardAtMs());
    }
  }

  /** Takes what comes on a connection that a host opened. */
  private final class HostHandler implements PeerHandler {
    private Optional<String> hostId = Optional.empty();

    @Override
    public void onOpen(PeerChannel channel) {}

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      if (hostId.isPresent()) {
        receive(hostId.get(), channel, message);
      } else if (message instanceof Hello hello && hello.role() == Role.AGENT) {
        hostId = Optional.of(hello.nodeId());
        lose(hello.nodeId(), false);
        sessions.put(hello.nodeId(), new Session(channel, EventLoop.nowMs()));
        // Whether this host will be followed is known only once it has said more of itself.
        channel.send(new OwnerBeat(EventLoop.nowMs(), true));
      } else {
        metrics.noteBadFrame();
        channel.close();
      }
    }

    private void receive(String host, PeerChannel channel, Message message) {
      Session session = sessions.get(host);
      if (session == null || session.channel != channel) {
        return;
      }
      switch (message) {
        case SessionOpened opened -> listener.onOpened(host, opened);
        case Announce announce -> listener.onAnnounce(announce.self());
        case HostRows rows -> {
          session.rows.take(rows);
          listener.onMessage(host, rows);
        }
        case HostRooms rooms -> receive(host, session, rooms);
        default -> listener.onMessage(host, message);
      }
    }

    private void receive(String host, Session session, HostRooms rooms) {
      Optional<HostRows> rows = session.rows.expand(rooms);
      if (rows.isPresent()) {
        listener.onMessage(host, rows.get());
      } else {
        metrics.noteBadFrame();
        session.channel.close();
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {
      if (hostId.isPresent()) {
        Session session = sessions.get(hostId.get());
        if (session != null && session.channel == channel) {
          lose(hostId.get(), false);
        }
      }
    }
  }

  private final class KnockHandler implements PeerHandler {
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
    sessions.values().forEach(session -> session.channel.close());
  }
}
