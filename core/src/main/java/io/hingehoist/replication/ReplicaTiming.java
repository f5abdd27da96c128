package io.hingehoist.replication;

/**
 * The timeouts of a replica, in milliseconds.
 *
 * @param electionTimeoutMs the time without contact from the leader after which an election may
 *     start
 * @param heartbeatMs the interval between heartbeats of the leader
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

  /** Returns the timing for an election timeout and a heartbeat interval. */
  public static ReplicaTiming of(long electionTimeoutMs, long heartbeatMs) {
    return new ReplicaTiming(electionTimeoutMs, heartbeatMs);
  }
}
