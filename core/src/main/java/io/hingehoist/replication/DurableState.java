package io.hingehoist.replication;

import io.hingehoist.message.LogEntry;
import java.util.List;

/**
 * The state that a replica recovers from its disk at start.
 *
 * @param term the latest term seen
 * @param votedFor the replica that this replica voted for in that term; empty for none
 * @param snapshot the latest snapshot
 * @param entries the entries after the snapshot, in log order
 */
public record DurableState(
    long term, String votedFor, LogSnapshot snapshot, List<LogEntry> entries) {

  /** Copies the entries. */
  public DurableState {
    entries = List.copyOf(entries);
  }

  /** Returns the state of a blank disk, one that holds no data of a replica yet. */
  public static DurableState blank() {
    return new DurableState(0, "", LogSnapshot.empty(), List.of());
  }
}
