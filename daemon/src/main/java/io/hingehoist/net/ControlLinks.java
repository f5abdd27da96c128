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
 * The connections of a process to all control replicas that it knows of. The process announces
 * itself to each of them, so it learns of other processes and of documents from any replica that
 * works. Not thread-safe: confined to the event loop.
 */
public final class ControlLinks implements AutoCloseable {
  /**
   * The interval of announcements. Every process announces itself to every replica, and every
   * announcement is answered. As changes are sent at once, announcements only keep the directory up
   * to date.
   */
  private static final long ANNOUNCE_INTERVAL_MS = 2_000;

  /** The interval shortly after a start, when most other processes may have started as well. */
  private static final long STARTUP_ANNOUNCE_INTERVAL_MS = 500;

  /** The time after a start for which the shorter interval applies. */
  private static final long STARTUP_MS = 4_000;

  private static final long PEER_RETENTION_MS = 600_000;
  private static final long READ_TIMEOUT_MS = 400;

  /** The interval of announcements, which are answered, and 300 ms for a delayed answer. */
  private static final long SILENCE_TIMEOUT_MS = ANNOUNCE_INTERVAL_MS + 300;

  /** Handles messages of control replicas. Called on the event loop. */
  public interface Listener {
    /** Called after the directory has changed. */
    void onDirectory(PeerDirectory directory);

    /** Called with the version of a committed document. */
    void onNotice(String address, DocumentNotice notice);

    /** Called with a part of newer routes. */
    void onRoutes(String address, RoutesPart part);

    /** Called with the evacuated availability zones. */
    void onZones(String address, EvacuatedZones zones);

    /** Called when the connection to a control replica opens or closes. */
    void onControl(String address, boolean found);
  }

  private static final class Link {
    private PeerLink peerLink;
    private long directoryVersion;
  }

  /** The newest version of a document, and the replica that reported it. */
  public record ReportedVersion(String address, long version) {}

  private record PendingRead(Consumer<Optional<ReportedVersion>> result) {}

  private final EventLoop loop;
  private final Peer self;
  private final Metrics metrics;
  private final Listener listener;
  private final PeerDirectory directory = PeerDirectory.create(PEER_RETENTION_MS);
  private final Map<String, Link> links = new HashMap<>();
  private final Map<Long, PendingRead> pendingReads = new HashMap<>();
  private final long startedAtMs = EventLoop.nowMs();
  private long announcedAtMs;
  private long lastReadId;

  private ControlLinks(EventLoop loop, Peer self, Metrics metrics, Listener listener) {
    this.loop = loop;
    this.self = self;
    this.metrics = metrics;
    this.listener = listener;
  }

  /** Creates an empty set of links. */
  public static ControlLinks create(EventLoop loop, Peer self, Metrics metrics, Listener listener) {
    return new ControlLinks(loop, self, metrics, listener);
  }

  /** Opens links to further replicas. */
  public void open(List<String> addresses) {
    for (String address : addresses) {
      if (!links.containsKey(address)) {
        Link link = new Link();
        links.put(address, link);
        link.peerLink =
            PeerLink.open(
                loop,
                address,
                self.address(),
                SILENCE_TIMEOUT_MS,
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

  /** Returns the directory of known processes. */
  public PeerDirectory directory() {
    return directory;
  }

  /** Adds a process that announced itself to this one. */
  public void addAnnounced(Peer peer) {
    long versionBefore = directory.version();
    directory.recordAnnounced(peer, EventLoop.nowMs());
    if (directory.version() != versionBefore) {
      directoryChanged();
    }
  }

  /** Announces this process if an announcement is due. Called at short intervals. */
  public void onTick(long nowMs) {
    links.values().forEach(link -> link.peerLink.onTick(nowMs));
    boolean startingUp = nowMs - startedAtMs < STARTUP_MS;
    if (nowMs - announcedAtMs
        < (startingUp ? STARTUP_ANNOUNCE_INTERVAL_MS : ANNOUNCE_INTERVAL_MS)) {
      return;
    }
    announcedAtMs = nowMs;
    directory.expire(nowMs);
    links.values().forEach(this::announce);
  }

  private void announce(Link link) {
    link.peerLink.send(new Announce(self, List.of(), link.directoryVersion));
  }

  private void directoryChanged() {
    open(directory.peers(Role.CONTROL).stream().map(Peer::address).toList());
    listener.onDirectory(directory);
  }

  /** Sends a message to a replica, or drops it if no connection to the replica is open. */
  public void send(String address, Message message) {
    Link link = links.get(address);
    if (link != null) {
      link.peerLink.send(message);
    }
  }

  /**
   * Reads the newest version of a document from the leader.
   *
   * @param result accepts the version; empty if no leader answers in time
   */
  public void readNewestVersion(String document, Consumer<Optional<ReportedVersion>> result) {
    long id = ++lastReadId;
    pendingReads.put(id, new PendingRead(result));
    QueryRequest request = new QueryRequest(id, new GetDocumentVersion(document).toBytes());
    links.values().forEach(link -> link.peerLink.send(request));
    loop.schedule(() -> completeRead(id, Optional.empty()), READ_TIMEOUT_MS);
  }

  private void completeRead(long id, Optional<ReportedVersion> version) {
    PendingRead read = pendingReads.remove(id);
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
      listener.onControl(link.peerLink.address(), true);
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      switch (message) {
        case Directory update -> handleDirectory(update);
        case DocumentNotice notice -> listener.onNotice(link.peerLink.address(), notice);
        case RoutesPart part -> listener.onRoutes(link.peerLink.address(), part);
        case EvacuatedZones zones -> listener.onZones(link.peerLink.address(), zones);
        case QueryResponse response -> handleResponse(response);
        default -> channel.close();
      }
    }

    private void handleDirectory(Directory update) {
      if (update.version() == link.directoryVersion) {
        directory.refreshAll(EventLoop.nowMs());
        return;
      }
      link.directoryVersion = update.version();
      long versionBefore = directory.version();
      long nowMs = EventLoop.nowMs();
      update.peers().forEach(peer -> directory.recordRelayed(peer, nowMs));
      if (directory.version() != versionBefore) {
        directoryChanged();
      }
    }

    private void handleResponse(QueryResponse response) {
      if (response.status() == ReplyStatus.OK) {
        completeRead(response.requestId(), decode(response));
      }
    }

    private Optional<ReportedVersion> decode(QueryResponse response) {
      try {
        return QueryAnswer.fromBytes(response.result()) instanceof NewestVersion newest
            ? Optional.of(new ReportedVersion(link.peerLink.address(), newest.version()))
            : Optional.empty();
      } catch (IOException e) {
        return Optional.empty();
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {
      listener.onControl(link.peerLink.address(), false);
    }
  }

  @Override
  public void close() {
    links.values().forEach(link -> link.peerLink.close());
  }
}
