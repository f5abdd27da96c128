package io.hingehoist.replication;

/**
 * The timers of a replica, in milliseconds.
 *
 * @param electionTimeoutMs the silence of the leader after which an election may begin
 * @param heartbeatMs the time between heartbeats of the leader
 */
public record ReplicaTiming(long electionTimeoutMs, long heartbeatMs) {

  /** Checks that at least two heartbeats fit into an election timeout. */
  public ReplicaTiming {
    if (heartbeatMs <= 0 || electionTimeoutMs < 2 * heartbeatMs) {
      throw new IllegalArgumentException(
          "electionTimeoutMs "
              + electionTimeoutMs
              + " must be at least twice heartbeatMs "
              + heartbeatMs);
    }
  }

  /** Returns a timing. */
  public static ReplicaTiming of(long electionTimeoutMs, long heartbeatMs) {
    return new ReplicaTiming(electionTimeoutMs, heartbeatMs);
  }
}
