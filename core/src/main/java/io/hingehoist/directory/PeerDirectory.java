package io.hingehoist.directory;

import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The recently known processes, by address. The directory is not replicated by consensus: a record
 * may be stale, and only connection attempts depend on it.
 *
 * <p>Only records that a process announced itself are relayed. Otherwise processes could keep
 * renewing each other's record of a process that has ended. Times are milliseconds of a monotonic
 * clock. Not thread-safe.
 */
public final class PeerDirectory {
  /** The maximum number of records; further processes are ignored. */
  public static final int MAX_PEERS = 20_000;

  /** The time for which an announcement is recent: two announcement intervals and one second. */
  private static final long RECENT_ANNOUNCEMENT_MS = 5_000;

  private final long retentionMs;
  private final Map<String, PeerRecord> peerRecords = new LinkedHashMap<>();
  private long version = 1;

  private static final class PeerRecord {
    private Peer peer;
    private long announcedAtMs = Long.MIN_VALUE / 2;
    private long renewedAtMs;
  }

  private PeerDirectory(long retentionMs) {
    this.retentionMs = retentionMs;
  }

  /**
   * Creates an empty directory.
   *
   * @param retentionMs the time for which a record is kept after it was last announced, relayed or
   *     confirmed
   */
  public static PeerDirectory create(long retentionMs) {
    return new PeerDirectory(retentionMs);
  }

  /** Records what a process announced about itself. */
  public void recordAnnounced(Peer peer, long nowMs) {
    PeerRecord peerRecord = addOrUpdate(peer, nowMs);
    if (peerRecord != null) {
      peerRecord.announcedAtMs = nowMs;
    }
  }

  /** Records what another process relayed about a process. */
  public void recordRelayed(Peer peer, long nowMs) {
    addOrUpdate(peer, nowMs);
  }

  private PeerRecord addOrUpdate(Peer peer, long nowMs) {
    PeerRecord peerRecord = peerRecords.get(peer.address());
    if (peerRecord == null && peerRecords.size() >= MAX_PEERS) {
      return null;
    }
    if (peerRecord == null) {
      peerRecord = new PeerRecord();
      peerRecords.put(peer.address(), peerRecord);
    }
    boolean isOlder = peerRecord.peer != null && peerRecord.peer.incarnation() > peer.incarnation();
    if (!isOlder && !Objects.equals(peerRecord.peer, peer)) {
      peerRecord.peer = peer;
      version++;
    }
    peerRecord.renewedAtMs = nowMs;
    return peerRecord;
  }

  /** Renews every record, after a control replica has confirmed that the directory is unchanged. */
  public void refreshAll(long nowMs) {
    peerRecords.values().forEach(peerRecord -> peerRecord.renewedAtMs = nowMs);
  }

  /** Removes the records that have not been renewed within the retention. */
  public void expire(long nowMs) {
    if (peerRecords.values().removeIf(peerRecord -> nowMs - peerRecord.renewedAtMs > retentionMs)) {
      version++;
    }
  }

  /** Returns the version, which increases with each change. */
  public long version() {
    return version;
  }

  /** Returns every process. */
  public List<Peer> peers() {
    return peerRecords.values().stream().map(peerRecord -> peerRecord.peer).toList();
  }

  /** Returns the processes of a role. */
  public List<Peer> peers(Role role) {
    return peerRecords.values().stream()
        .map(peerRecord -> peerRecord.peer)
        .filter(p -> p.role() == role)
        .toList();
  }

  /** Returns the processes that announced themselves recently. */
  public List<Peer> recentlyAnnounced(long nowMs) {
    return peerRecords.values().stream()
        .filter(peerRecord -> nowMs - peerRecord.announcedAtMs <= RECENT_ANNOUNCEMENT_MS)
        .map(peerRecord -> peerRecord.peer)
        .toList();
  }
}
