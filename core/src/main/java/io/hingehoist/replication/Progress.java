package io.hingehoist.replication;

import java.util.Optional;

/**
 * The leader's replication progress for one other replica. Not thread-safe: confined to the control
 * thread.
 */
final class Progress {
  final String replicaId;
  final String address;
  long nextIndex;
  long matchIndex;
  long ackedRound;
  long lastAckAtMs;
  long sentAtMs;
  long snapshotOffset;
  long snapshotSentAtMs;

  /** The snapshot that is being sent; a newer one is sent only after it, if still needed. */
  private Optional<LogSnapshot> sentSnapshot = Optional.empty();

  Progress(String replicaId, String address, long nextIndex, long nowMs) {
    this.replicaId = replicaId;
    this.address = address;
    this.nextIndex = nextIndex;
    this.lastAckAtMs = nowMs;
  }

  /** Returns the snapshot that is being sent, if any. */
  Optional<LogSnapshot> sentSnapshot() {
    return sentSnapshot;
  }

  void startSnapshot(LogSnapshot snapshot) {
    sentSnapshot = Optional.of(snapshot);
    snapshotOffset = 0;
    snapshotSentAtMs = 0;
  }

  void onAppendAccepted(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    sentSnapshot = Optional.empty();
  }

  /**
   * Moves {@code nextIndex} back to the entry after the hinted index, up to which the logs may
   * still match.
   */
  void onAppendRejected(long hintIndex) {
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, hintIndex + 1));
  }
}
