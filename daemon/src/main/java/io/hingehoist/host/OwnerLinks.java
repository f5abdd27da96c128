package io.hingehoist.host;

import io.hingehoist.message.Hello;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.Peer;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.PeerChannel;
import io.hingehoist.net.PeerHandler;
import io.hingehoist.net.PeerLink;
import io.hingehoist.run.SentRows;
import io.hingehoist.wire.FrameConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The connections of a host to every owner that it knows of. Owned by the event loop. */
final class OwnerLinks implements AutoCloseable {

  /** Takes what happens on sessions, on the event loop. */
  interface Listener {
    void onBegan(long sessionId, String ownerId);

    void onMessage(long sessionId, Message message);

    /**
     * Notes the end of a connection.
     *
     * @param heardAgoMs the time since something was last heard on it
     */
    void onEnded(long sessionId, long heardAgoMs);
  }

  private record Session(PeerChannel channel, SentRows rows) {}

  private final EventLoop loop;
  private final Peer self;
  private final Metrics metrics;
  private final Listener listener;
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Map<Long, Session> sessions = new HashMap<>();

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
      links.computeIfAbsent(
          address,
          a -> PeerLink.open(loop, a, self.address(), this::hello, new OwnerHandler(a), metrics));
    }
    for (String address : Set.copyOf(links.keySet())) {
      if (!addresses.contains(address)) {
        links.remove(address).close();
      }
    }
  }

  private Hello hello() {
    return new Hello(
        self.role(), self.nodeId(), self.incarnation(), "", FrameConnection.PROTOCOL_VERSION);
  }

  void onTick(long nowMs) {
    links.values().forEach(link -> link.onTick(nowMs));
  }

  void send(long sessionId, Message message) {
    Session session = sessions.get(sessionId);
    if (session != null) {
      Message shortest = message instanceof HostRows rows ? session.rows().toSend(rows) : message;
      session.channel().send(shortest);
    }
  }

  void close(long sessionId) {
    Session session = sessions.remove(sessionId);
    if (session != null) {
      session.channel().close();
    }
  }

  private final class OwnerHandler implements PeerHandler {
    private final String address;

    private OwnerHandler(String address) {
      this.address = address;
    }

    @Override
    public void onOpen(PeerChannel channel) {
      sessions.put(channel.id(), new Session(channel, SentRows.create()));
      listener.onBegan(channel.id(), address);
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      if (sessions.containsKey(channel.id())) {
        listener.onMessage(channel.id(), message);
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {
      sessions.remove(channel.id());
      listener.onEnded(channel.id(), EventLoop.nowMs() - channel.heardAtMs());
    }
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
  }
}
