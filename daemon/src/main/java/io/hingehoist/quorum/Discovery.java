package io.hingehoist.quorum;

import io.hingehoist.directory.PeerDirectory;
import io.hingehoist.message.Announce;
import io.hingehoist.message.Directory;
import io.hingehoist.message.DocumentNotice;
import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import io.hingehoist.state.DocumentRow;
import io.hingehoist.wire.MessageSink;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A control replica's directory of the deployment's processes, and the followers that it notifies
 * of changes. Not thread-safe: confined to the control thread.
 */
final class Discovery {
  private static final long ANNOUNCE_INTERVAL_MS = 500;
  private static final long PEER_RETENTION_MS = 60_000;
  private static final int MAX_RELAYED_PEERS = 4_096;

  private final Peer self;
  private final PeerDirectory directory = PeerDirectory.create(PEER_RETENTION_MS);

  /** The processes that are notified of evacuated zones, and if entries, also of documents. */
  private final Map<MessageSink, Role> followers = new HashMap<>();

  private long announcedAtMs;

  Discovery(Peer self) {
    this.self = self;
  }

  /**
   * Handles an announcement, and responds to it unless it came from a control replica.
   *
   * @param zones the evacuated zones, if known to this replica
   */
  void onAnnounce(
      MessageSink sender,
      Announce announce,
      Collection<DocumentRow> documents,
      Optional<EvacuatedZones> zones,
      long nowMs) {
    directory.recordAnnounced(announce.self(), nowMs);
    announce.known().forEach(peer -> directory.recordRelayed(peer, nowMs));
    if (announce.self().role() == Role.CONTROL) {
      return;
    }
    directory.recordAnnounced(self, nowMs);
    boolean current = announce.directoryVersion() == directory.version();
    sender.send(new Directory(directory.version(), current ? List.of() : directory.peers()));
    if (followers.putIfAbsent(sender, announce.self().role()) == null) {
      zones.ifPresent(sender::send);
      documents.forEach(row -> send(row, sender, announce.self().role()));
    }
  }

  private static void send(DocumentRow row, MessageSink follower, Role role) {
    if (role == Role.ENTRY) {
      follower.send(new DocumentNotice(row.name(), row.version()));
    }
  }

  /** Returns the next announcement to the other control replicas, if it is due. */
  Optional<Announce> dueAnnounce(long nowMs) {
    if (nowMs - announcedAtMs < ANNOUNCE_INTERVAL_MS) {
      return Optional.empty();
    }
    announcedAtMs = nowMs;
    directory.expire(nowMs);
    followers.keySet().removeIf(follower -> !follower.isOpen());
    List<Peer> known = directory.recentlyAnnounced(nowMs);
    return Optional.of(
        new Announce(self, known.subList(0, Math.min(MAX_RELAYED_PEERS, known.size())), 0));
  }

  /** Returns the addresses of the known control replicas. */
  List<String> controlAddresses() {
    return directory.peers(Role.CONTROL).stream().map(Peer::address).toList();
  }

  /** Returns the number of known processes besides this one. */
  int peerCount() {
    return (int)
        directory.peers().stream().filter(peer -> !peer.address().equals(self.address())).count();
  }

  /** Notifies followers of the committed version of a document. */
  void publish(DocumentRow row) {
    followers.forEach((follower, role) -> send(row, follower, role));
  }

  /** Sends the evacuated zones to every process that announced itself. */
  void publish(EvacuatedZones zones) {
    followers.keySet().forEach(follower -> follower.send(zones));
  }
}
