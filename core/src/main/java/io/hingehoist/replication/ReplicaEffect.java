package io.hingehoist.replication;

import io.hingehoist.message.LogEntry;
import io.hingehoist.message.Message;
import io.hingehoist.message.ReplicaSet;
import java.util.List;

/** An action that a {@link Replica} requests from its caller, which carries them out in order. */
public sealed interface ReplicaEffect {

  /**
   * Sends a message at once; used for messages that do not depend on what this replica has written
   * to its disk.
   */
  record Send(String address, Message message) implements ReplicaEffect {}

  /** Sends a message once all writes requested before it are synced to disk. */
  record SendAfterSync(String address, Message message) implements ReplicaEffect {}

  /** Persists the current term and the vote cast in it. */
  record SaveVote(long term, String votedFor) implements ReplicaEffect {}

  /** Appends entries to the journal. */
  record Append(List<LogEntry> entries) implements ReplicaEffect {}

  /** Removes the journal's entries from an index onwards. */
  record Truncate(long fromIndex) implements ReplicaEffect {}

  /**
   * Replaces the applied state with a snapshot, and the journal with the snapshot and the entries
   * that the replica holds after it.
   */
  record Install(LogSnapshot snapshot) implements ReplicaEffect {}

  /** Persists the id of the cluster that a blank replica has joined. */
  record JoinCluster(String clusterId) implements ReplicaEffect {}

  /** Persists the id of a new cluster; its first entry is appended after that. */
  record FoundCluster(String clusterId, ReplicaSet voters) implements ReplicaEffect {}

  /** Applies a committed entry. */
  record Apply(LogEntry entry) implements ReplicaEffect {}

  /** Reports the log index at which a proposed command was appended. */
  record Accepted(long token, long index) implements ReplicaEffect {}

  /** Reports that this replica did not append a proposal, or cannot serve a read. */
  record Rejected(long token) implements ReplicaEffect {}

  /** Reports that the applied state may be read for a request. */
  record ReadReady(long token) implements ReplicaEffect {}

  /**
   * Reports a change of role, term or leader. The caller of a replica that stops leading discards
   * its pending proposals.
   */
  record RoleChanged(ReplicaRole role, long term, String leaderAddress) implements ReplicaEffect {}

  /** Returns the entries of an append effect as an immutable list. */
  static Append append(List<LogEntry> entries) {
    return new Append(List.copyOf(entries));
  }
}
