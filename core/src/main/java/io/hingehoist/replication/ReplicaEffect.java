package io.hingehoist.replication;

import io.hingehoist.message.LogEntry;
import io.hingehoist.message.Message;
import java.util.List;

/** Something that a {@link Replica} asks its surroundings to do, in order. */
public sealed interface ReplicaEffect {

  /** Sends a message that says nothing about this replica's disk. */
  record Send(String address, Message message) implements ReplicaEffect {}

  /** Sends a message once everything before it is synced. */
  record SendAfterSync(String address, Message message) implements ReplicaEffect {}

  /** Records the term and the vote given in it. */
  record SaveVote(long term, String votedFor) implements ReplicaEffect {}

  /** Appends entries to the journal. */
  record Append(List<LogEntry> entries) implements ReplicaEffect {}

  /** Removes the entries from an index on. */
  record Truncate(long fromIndex) implements ReplicaEffect {}

  /** Replaces journal and applied state by a snapshot. */
  record Install(LogSnapshot snapshot) implements ReplicaEffect {}

  /** Binds a blank replica to a cluster. */
  record JoinCluster(String clusterId) implements ReplicaEffect {}

  /** Applies a committed entry. */
  record Apply(LogEntry entry) implements ReplicaEffect {}

  /** Says at which index a proposed command stands. */
  record Accepted(long token, long index) implements ReplicaEffect {}

  /** Says that a proposal was not appended, or a read can't be served, by this replica. */
  record Rejected(long token) implements ReplicaEffect {}

  /** Says that the applied state may be read for a request. */
  record ReadReady(long token) implements ReplicaEffect {}

  /** Says that role, term or leader changed. A replica that stops leading forgets its proposals. */
  record RoleChanged(ReplicaRole role, long term, String leaderAddress) implements ReplicaEffect {}

  /** Returns the entries of an append effect as an immutable list. */
  static Append append(List<LogEntry> entries) {
    return new Append(List.copyOf(entries));
  }
}
