package io.hingehoist.replication;

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
  long snapshotOffset = -1;
  long snapshotSentAtMs;

  Progress(String replicaId, String address, long nextIndex, long nowMs) {
    this.replicaId = replicaId;
    this.address = address;
    this.nextIndex = nextIndex;
    this.lastAckAtMs = nowMs;
  }

  boolean isReceivingSnapshot() {
    return snapshotOffset >= 0;
  }

  void onAppendAccepted(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    snapshotOffset = -1;
  }

  /**
   * Moves {@code nextIndex} back to the entry after the hinted index, up to which the logs may
   * still match.
   */
  void onAppendRejected(long hintIndex) {
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, hintIndex + 1));
  }
}
