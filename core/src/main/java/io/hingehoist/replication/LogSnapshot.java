package io.hingehoist.replication;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.ReplicaSet;
import java.util.List;

/**
 * The applied state up to a log index, which replaces the log up to that index.
 *
 * @param lastIndex the index of the last entry that the state includes
 * @param lastTerm the term of that entry
 * @param voters the voters as of that entry
 * @param state the applied state
 */
public record LogSnapshot(long lastIndex, long lastTerm, ReplicaSet voters, Bytes state) {

  /** Returns the snapshot of an empty log. */
  public static LogSnapshot empty() {
    return new LogSnapshot(0, 0, new ReplicaSet(List.of()), Bytes.empty());
  }
}
