package io.hingehoist.replication;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.Message;

/** An input event of a {@link Replica}. */
public sealed interface ReplicaEvent {

  /** Time has passed. */
  record Tick() implements ReplicaEvent {}

  /** A message from another replica has arrived. */
  record Received(Message message) implements ReplicaEvent {}

  /** A client proposes a command, stamped with the wall clock. */
  record Proposed(long token, Bytes command, long stampedAtMs) implements ReplicaEvent {}

  /**
   * A client requests a linearizable read, of a state that includes every entry committed before
   * the request.
   */
  record ReadRequested(long token) implements ReplicaEvent {}

  /** Every entry up to an index is synced to disk. */
  record Persisted(long index) implements ReplicaEvent {}

  /** A snapshot of the applied state is synced to disk. */
  record SnapshotSaved(LogSnapshot snapshot) implements ReplicaEvent {}
}
