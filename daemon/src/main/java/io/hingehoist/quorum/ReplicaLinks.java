package io.hingehoist.quorum;

import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.FrameHandler;
import io.hingehoist.wire.FrameLink;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadFactory;

/**
 * The connections that a replica opens to others. A connection to a silent peer is replaced: after
 * a network partition, TCP may wait for long before it retransmits on the old one. Not thread-safe:
 * confined to the control thread.
 */
final class ReplicaLinks implements AutoCloseable {
  private static final int MAX_QUEUED_FRAMES = 32_768;
  private static final long SILENCE_TIMEOUT_MS = 1_300;
  private static final long PEER_RETENTION_MS = 120_000;

  private static final class Link {
    private final FrameLink frames;
    private long lastReceivedAtMs;
    private long reconnectedAtMs;

    private Link(FrameLink frames, long nowMs) {
      this.frames = frames;
      this.lastReceivedAtMs = nowMs;
      this.reconnectedAtMs = nowMs;
    }
  }

  private final String ownAddress;
  private final Hello hello;
  private final FrameHandler handler;
  private final Metrics metrics;
  private final ThreadFactory threads;
  private final Map<String, Link> links = new HashMap<>();

  ReplicaLinks(
      String ownAddress,
      Hello hello,
      FrameHandler handler,
      Metrics metrics,
      ThreadFactory threads) {
    this.ownAddress = ownAddress;
    this.hello = hello;
    this.handler = handler;
    this.metrics = metrics;
    this.threads = threads;
  }

  /** Opens a link to an address, unless there is one or the address is this replica's own. */
  void open(String address, long nowMs) {
    if (!address.equals(ownAddress) && !address.isEmpty()) {
      links.computeIfAbsent(address, a -> new Link(connect(a), nowMs));
    }
  }

  private FrameLink connect(String address) {
    return FrameLink.open(address, ownAddress, hello, handler, metrics, threads, MAX_QUEUED_FRAMES);
  }

  /** Returns the addresses of all links. */
  List<String> addresses() {
    return List.copyOf(links.keySet());
  }

  /** Sends a message to an address, over a new link if there is none. */
  void send(String address, Message message, long nowMs) {
    open(address, nowMs);
    Link link = links.get(address);
    if (link != null) {
      link.frames.send(message);
    }
  }

  /** Sends a message on all links. */
  void sendToAll(Message message) {
    links.values().forEach(link -> link.frames.send(message));
  }

  /** Records that a message was received from the replica at an address. */
  void recordReceived(String address, long nowMs) {
    Link link = links.get(address);
    if (link != null) {
      link.lastReceivedAtMs = nowMs;
    }
  }

  /**
   * Replaces the connections to silent peers, and removes links to peers that are silent for long.
   */
  void reconnectSilent(long nowMs) {
    for (Link link : links.values()) {
      long silentSinceMs = Math.max(link.lastReceivedAtMs, link.reconnectedAtMs);
      if (nowMs - silentSinceMs >= SILENCE_TIMEOUT_MS) {
        link.reconnectedAtMs = nowMs;
        link.frames.reset();
      }
    }
    links
        .entrySet()
        .removeIf(
            entry -> {
              boolean expired = nowMs - entry.getValue().lastReceivedAtMs >= PEER_RETENTION_MS;
              if (expired) {
                entry.getValue().frames.close();
              }
              return expired;
            });
  }

  @Override
  public void close() {
    links.values().forEach(link -> link.frames.close());
  }
}
