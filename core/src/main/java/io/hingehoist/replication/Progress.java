package io.hingehoist.replication;

/** What the leader knows of one other replica. Owned by {@link Leadership}. */
final class Progress {
  final String replicaId;
  final String address;
  long nextIndex;
  long matchIndex;
  long ackedRound;
  long lastAckMs;
  long sentAtMs;
  long snapshotOffset = -1;
  long snapshotSentAtMs;

  Progress(String replicaId, String address, long nextIndex, long nowMs) {
    this.replicaId = replicaId;
    this.address = address;
    this.nextIndex = nextIndex;
    this.lastAckMs = nowMs;
  }

  boolean isReceivingSnapshot() {
    return snapshotOffset >= 0;
  }

  void succeed(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    snapshotOffset = -1;
  }

  /** Goes back to where the logs may still agree. */
  void fail(long hintIndex) {
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, hintIndex + 1));
  }
}
