package io.hingehoist.replication;

import io.hingehoist.message.LogEntry;
import java.util.List;

/**
 * What a replica finds on its disk when it starts.
 *
 * @param term the latest term seen
 * @param votedFor the replica that got this replica's vote in that term; empty for none
 * @param snapshot the latest snapshot
 * @param entries the entries after it, in order
 */
public record DurableState(
    long term, String votedFor, LogSnapshot snapshot, List<LogEntry> entries) {

  /** Copies the entries. */
  public DurableState {
    entries = List.copyOf(entries);
  }

  /** Returns the state of a blank disk. */
  public static DurableState blank() {
    return new DurableState(0, "", LogSnapshot.empty(), List.of());
  }
}
