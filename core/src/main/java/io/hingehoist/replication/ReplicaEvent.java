package io.hingehoist.replication;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.Message;

/** Something that happens to a {@link Replica}. */
public sealed interface ReplicaEvent {

  /** Time has passed. */
  record Tick() implements ReplicaEvent {}

  /** A message came from another replica. */
  record Received(Message message) implements ReplicaEvent {}

  /** A client proposes a command; the wall clock stamps it. */
  record Proposed(long token, Bytes command, long stampedAtMs) implements ReplicaEvent {}

  /** A client wants to read a state that holds everything committed before now. */
  record ReadRequested(long token) implements ReplicaEvent {}

  /** Every entry up to an index is synced to disk. */
  record Persisted(long index) implements ReplicaEvent {}

  /** A snapshot of the applied state is synced to disk. */
  record SnapshotSaved(LogSnapshot snapshot) implements ReplicaEvent {}
}
