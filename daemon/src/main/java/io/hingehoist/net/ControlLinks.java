package io.hingehoist.net;

import io.hingehoist.command.GetDocumentVersion;
import io.hingehoist.command.NewestVersion;
import io.hingehoist.command.QueryAnswer;
import io.hingehoist.directory.PeerDirectory;
import io.hingehoist.message.Announce;
import io.hingehoist.message.Directory;
import io.hingehoist.message.DocumentNotice;
import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.message.Peer;
import io.hingehoist.message.QueryRequest;
import io.hingehoist.message.QueryResponse;
import io.hingehoist.message.ReplyStatus;
import io.hingehoist.message.Role;
import io.hingehoist.message.RoutesPart;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.FrameConnection;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The connections of a process to every control replica that it knows of. It announces itself to
 * each, and so learns of the others and of documents whichever of them is well. Owned by the event
 * loop.
 */
public final class ControlLinks implements AutoCloseable {
  /**
   * Each process announces itself to each replica, and is answered. What changes is told at once;
   * an announcement only keeps the directory fresh.
   */
  private static final long ANNOUNCE_MS = 2_000;

  /** After a start, when most others may have started as well, and for how long. */
  private static final long EARLY_ANNOUNCE_MS = 500;

  private static final long EARLY_MS = 4_000;
  private static final long KEPT_MS = 600_000;
  private static final long READ_TIMEOUT_MS = 400;

  /** An announcement, which is answered, and 300 ms for what holds the answer up. */
  private static final long SILENT_AFTER_MS = ANNOUNCE_MS + 300;

  /** Takes what control replicas say, on the event loop. */
  public interface Listener {
    /** Takes the directory after a change. */
    void onDirectory(PeerDirectory directory);

    /** Takes word of a committed document's version. */
    void onNotice(String address, DocumentNotice notice);

    /** Takes a part of newer routes. */
    void onRoutes(String address, RoutesPart part);

    /** Takes word of the evacuated availability zones. */
    void onZones(String address, EvacuatedZones zones);

    /** Notes that a control replica was found or lost. */
    void onControl(String address, boolean found);
  }

  private static final class Link {
    private PeerLink frames;
    private long directoryVersion;
  }

  /** The newest version of a document, and the replica that said so. */
  public record Newest(String address, long version) {}

  private record PendingRead(Consumer<Optional<Newest>> result) {}

  private final EventLoop loop;
  private final Peer self;
  private final Metrics metrics;
  private final Listener listener;
  private final PeerDirectory directory = PeerDirectory.create(KEPT_MS);
  private final Map<String, Link> links = new HashMap<>();
  private final Map<Long, PendingRead> reads = new HashMap<>();
  private final long startedAtMs = EventLoop.nowMs();
  private long announcedAtMs;
  private long nextRead;

  private ControlLinks(EventLoop loop, Peer self, Metrics metrics, Listener listener) {
    this.loop = loop;
    this.self = self;
    this.metrics = metrics;
    this.listener = listener;
  }

  /** Creates links to no replica yet. */
  public static ControlLinks create(EventLoop loop, Peer self, Metrics metrics, Listener listener) {
    return new ControlLinks(loop, self, metrics, listener);
  }

  /** Opens links to replicas, in addition to those that are open. */
  public void open(List<String> addresses) {
    for (String address : addresses) {
      if (!links.containsKey(address)) {
        Link link = new Link();
        links.put(address, link);
        link.frames =
            PeerLink.open(
                loop,
                address,
                self.address(),
                SILENT_AFTER_MS,
                this::hello,
                new ControlHandler(link),
                metrics);
      }
    }
  }

  private Hello hello() {
    return new Hello(
        self.role(), self.nodeId(), self.incarnation(), "", FrameConnection.PROTOCOL_VERSION);
  }

  /** Returns what this process knows of others. */
  public PeerDirectory directory() {
    return directory;
  }

  /** Takes a process that made itself known here. */
  public void told(Peer peer) {
    long before = directory.version();
    directory.recordAnnounced(peer, EventLoop.nowMs());
    if (directory.version() != before) {
      directoryChanged();
    }
  }

  /** Announces this process when that is due. Called at short intervals. */
  public void onTick(long nowMs) {
    links.values().forEach(link -> link.frames.onTick(nowMs));
    boolean early = nowMs - startedAtMs < EARLY_MS;
    if (nowMs - announcedAtMs < (early ? EARLY_ANNOUNCE_MS : ANNOUNCE_MS)) {
      return;
    }
    announcedAtMs = nowMs;
    directory.expire(nowMs);
    links.values().forEach(this::announce);
  }

  private void announce(Link link) {
    link.frames.send(new Announce(self, List.of(), link.directoryVersion));
  }

  private void directoryChanged() {
    open(directory.peers(Role.CONTROL).stream().map(Peer::address).toList());
    listener.onDirectory(directory);
  }

  /** Sends a message to a replica, if a link to it is open. */
  public void send(String address, Message message) {
    Link link = links.get(address);
    if (link != null) {
      link.frames.send(message);
    }
  }

  /**
   * Reads from whichever replica leads which version of a document is the newest.
   *
   * @param result gets it; empty if no leader answers in time
   */
  public void readNewestVersion(String document, Consumer<Optional<Newest>> result) {
    long id = ++nextRead;
    reads.put(id, new PendingRead(result));
    QueryRequest request = new QueryRequest(id, new GetDocumentVersion(document).toBytes());
    links.values().forEach(link -> link.frames.send(request));
    loop.schedule(() -> settle(id, Optional.empty()), READ_TIMEOUT_MS);
  }

  private void settle(long id, Optional<Newest> version) {
    PendingRead read = reads.remove(id);
    if (read != null) {
      read.result().accept(version);
    }
  }

  private final class ControlHandler implements PeerHandler {
    private final Link link;

    private ControlHandler(Link link) {
      this.link = link;
    }

    @Override
    public void onOpen(PeerChannel channel) {
      link.directoryVersion = 0;
      announce(link);
      listener.onControl(link.frames.address(), true);
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      switch (message) {
        case Directory update -> take(update);
        case DocumentNotice notice -> listener.onNotice(link.frames.address(), notice);
        case RoutesPart part -> listener.onRoutes(link.frames.address(), part);
        case EvacuatedZones zones -> listener.onZones(link.frames.address(), zones);
        case QueryResponse response -> take(response);
        default -> channel.close();
      }
    }

    private void take(Directory update) {
      if (update.version() == link.directoryVersion) {
        directory.refreshAll(EventLoop.nowMs());
        return;
      }
      link.directoryVersion = update.version();
      long before = directory.version();
      long nowMs = EventLoop.nowMs();
      update.peers().forEach(peer -> directory.recordRelayed(peer, nowMs));
      if (directory.version() != before) {
        directoryChanged();
      }
    }

    private void take(QueryResponse response) {
      if (response.status() == ReplyStatus.OK) {
        settle(response.requestId(), decode(response));
      }
    }

    private Optional<Newest> decode(QueryResponse response) {
      try {
        return QueryAnswer.fromBytes(response.result()) instanceof NewestVersion newest
            ? Optional.of(new Newest(link.frames.address(), newest.version()))
            : Optional.empty();
      } catch (IOException e) {
        return Optional.empty();
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {
      listener.onControl(link.frames.address(), false);
    }
  }

  @Override
  public void close() {
    links.values().forEach(link -> link.frames.close());
  }
}
