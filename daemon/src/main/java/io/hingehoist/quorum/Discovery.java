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
 * What a control replica knows of the deployment's processes, and who follows its documents. Owned
 * by the control thread.
 */
final class Discovery {
  private static final long ANNOUNCE_MS = 500;
  private static final long KEPT_MS = 60_000;
  private static final int MAX_PASSED_ON = 4_096;

  private final Peer self;
  private final PeerDirectory directory = PeerDirectory.create(KEPT_MS);

  /** Those that are told of evacuated zones; the entries among them of documents as well. */
  private final Map<MessageSink, Role> followers = new HashMap<>();

  private long announcedAtMs;

  Discovery(Peer self) {
    this.self = self;
  }

  /**
   * Takes an announcement, and answers one that did not come from a control replica.
   *
   * @param zones the evacuated zones, if this replica knows anything of them yet
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

  /** Returns the announcement that is due to the other control replicas, if one is. */
  Optional<Announce> dueAnnounce(long nowMs) {
    if (nowMs - announcedAtMs < ANNOUNCE_MS) {
      return Optional.empty();
    }
    announcedAtMs = nowMs;
    directory.expire(nowMs);
    followers.keySet().removeIf(follower -> !follower.isOpen());
    List<Peer> known = directory.recentlyAnnounced(nowMs);
    return Optional.of(
        new Announce(self, known.subList(0, Math.min(MAX_PASSED_ON, known.size())), 0));
  }

  List<String> controlAddresses() {
    return directory.peers(Role.CONTROL).stream().map(Peer::address).toList();
  }

  /** Tells those that follow which version of a document was committed. */
  void publish(DocumentRow row) {
    followers.forEach((follower, role) -> send(row, follower, role));
  }

  /** Brings the evacuated zones to every process that announced itself. */
  void publish(EvacuatedZones zones) {
    followers.keySet().forEach(follower -> follower.send(zones));
  }
}
