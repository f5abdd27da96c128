package io.hingehoist.directory;

import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The processes that were heard of lately, by address. It is knowledge and not agreement: a row may
 * be stale, and nothing but a connection attempt depends on it.
 *
 * <p>Only what a process told of itself is passed on, so that a row doesn't outlive its process by
 * going round. Times are milliseconds of a clock that never goes back. Not thread-safe.
 */
public final class PeerDirectory {
  /** The most rows; more are not taken in. */
  public static final int MAX_PEERS = 20_000;

  /** For how long a process that told of itself counts as heard: two announcements and a second. */
  private static final long FRESH_MS = 5_000;

  private final long keptMs;
  private final Map<String, Row> rows = new LinkedHashMap<>();
  private long version = 1;

  private static final class Row {
    private Peer peer;
    private long toldAtMs = Long.MIN_VALUE / 2;
    private long heardAtMs;
  }

  private PeerDirectory(long keptMs) {
    this.keptMs = keptMs;
  }

  /**
   * Creates an empty directory.
   *
   * @param keptMs how long a process is kept after it was last heard of
   */
  public static PeerDirectory create(long keptMs) {
    return new PeerDirectory(keptMs);
  }

  /** Notes what a process tells of itself. */
  public void recordAnnounced(Peer peer, long nowMs) {
    Row row = take(peer, nowMs);
    if (row != null) {
      row.toldAtMs = nowMs;
    }
  }

  /** Notes what others tell of a process. */
  public void recordRelayed(Peer peer, long nowMs) {
    take(peer, nowMs);
  }

  private Row take(Peer peer, long nowMs) {
    Row row = rows.get(peer.address());
    if (row == null && rows.size() >= MAX_PEERS) {
      return null;
    }
    if (row == null) {
      row = new Row();
      rows.put(peer.address(), row);
    }
    boolean older = row.peer != null && row.peer.incarnation() > peer.incarnation();
    if (!older && !Objects.equals(row.peer, peer)) {
      row.peer = peer;
      version++;
    }
    row.heardAtMs = nowMs;
    return row;
  }

  /** Notes that one who knows says that nothing has changed. */
  public void refreshAll(long nowMs) {
    rows.values().forEach(row -> row.heardAtMs = nowMs);
  }

  /** Forgets processes that were not heard of for long. */
  public void expire(long nowMs) {
    if (rows.values().removeIf(row -> nowMs - row.heardAtMs > keptMs)) {
      version++;
    }
  }

  /** Returns a number that rises with each change. */
  public long version() {
    return version;
  }

  /** Returns every process. */
  public List<Peer> peers() {
    return rows.values().stream().map(row -> row.peer).toList();
  }

  /** Returns the processes of a role. */
  public List<Peer> peers(Role role) {
    return rows.values().stream().map(row -> row.peer).filter(p -> p.role() == role).toList();
  }

  /** Returns the processes that told of themselves a moment ago. */
  public List<Peer> recentlyAnnounced(long nowMs) {
    return rows.values().stream()
        .filter(row -> nowMs - row.toldAtMs <= FRESH_MS)
        .map(row -> row.peer)
        .toList();
  }
}
