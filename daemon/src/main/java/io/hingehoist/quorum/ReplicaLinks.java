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
 * The connections that a replica opens to others. A peer that is not heard for a while gets a new
 * connection: after a cut, the old one may wait for long before it sends again. Owned by the
 * control thread.
 */
final class ReplicaLinks implements AutoCloseable {
  private static final int MAX_QUEUED_FRAMES = 32_768;
  private static final long SILENT_MS = 1_300;
  private static final long FORGET_MS = 120_000;

  private static final class Link {
    private final FrameLink frames;
    private long heardAtMs;
    private long renewedAtMs;

    private Link(FrameLink frames, long nowMs) {
      this.frames = frames;
      this.heardAtMs = nowMs;
      this.renewedAtMs = nowMs;
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

  /** Opens a connection to an address unless there is one, or it is this replica's own. */
  void open(String address, long nowMs) {
    if (!address.equals(ownAddress) && !address.isEmpty()) {
      links.computeIfAbsent(address, a -> new Link(connect(a), nowMs));
    }
  }

  private FrameLink connect(String address) {
    return FrameLink.open(address, ownAddress, hello, handler, metrics, threads, MAX_QUEUED_FRAMES);
  }

  List<String> addresses() {
    return List.copyOf(links.keySet());
  }

  void send(String address, Message message, long nowMs) {
    open(address, nowMs);
    Link link = links.get(address);
    if (link != null) {
      link.frames.send(message);
    }
  }

  void sendToAll(Message message) {
    links.values().forEach(link -> link.frames.send(message));
  }

  void heard(String address, long nowMs) {
    Link link = links.get(address);
    if (link != null) {
      link.heardAtMs = nowMs;
    }
  }

  /** Renews the connections to silent peers, and forgets those that were not heard for long. */
  void renewSilent(long nowMs) {
    for (Link link : links.values()) {
      long since = Math.max(link.heardAtMs, link.renewedAtMs);
      if (nowMs - since >= SILENT_MS) {
        link.renewedAtMs = nowMs;
        link.frames.reset();
      }
    }
    links
        .entrySet()
        .removeIf(
            entry -> {
              boolean forgotten = nowMs - entry.getValue().heardAtMs >= FORGET_MS;
              if (forgotten) {
                entry.getValue().frames.close();
              }
              return forgotten;
            });
  }

  @Override
  public void close() {
    links.values().forEach(link -> link.frames.close());
  }
}
