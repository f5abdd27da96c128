package io.hingehoist.run;

/**
 * The time limits that owners and hosts must agree on, in milliseconds.
 *
 * @param ownerLeaseMs the time without contact to an owner after which a host stops the owner's
 *     runs
 * @param workerLeaseMs the maximum time that a worker continues its runs after its host's last call
 * @param longestWorkerLeaseMs the longest lease that a worker accepts, whatever a call requests
 * @param killGraceMs the time that a worker needs to end a run
 */
public record RunTiming(
    long ownerLeaseMs, long workerLeaseMs, long longestWorkerLeaseMs, long killGraceMs) {
  /** A worker's clock may be slow by up to 2 percent, which makes its lease longer in real time. */
  private static final double MAX_LEASE_STRETCH = 1.02;

  /** The time that a healthy host needs to carry out a stop, in addition to the worker's own. */
  private static final long STOP_MARGIN_MS = 100;

  /**
   * The longest worker lease that a host requests. It outlasts several lost renewals, yet is short
   * enough to wait for its expiry.
   */
  private static final long MAX_WORKER_LEASE_MS = 800;

  /**
   * The interval of an owner's heartbeats to a host where runs of it may be active. With a lease of
   * 650 ms this leaves 450 ms to detect a silent connection (300 ms) and to replace it.
   */
  public static final long HEARTBEAT_INTERVAL_MS = 200;

  /**
   * The interval of heartbeats to a host where no run of the owner is active, so that no lease
   * needs renewal. Most pairs of an owner and a host in a large fleet share no run, and their
   * heartbeats grow with the product of owners and hosts.
   */
  public static final long IDLE_HEARTBEAT_INTERVAL_MS = 1_000;

  /** A session without runs ends after two lost heartbeats and a margin of 500 ms for delays. */
  public static final long IDLE_SESSION_TIMEOUT_MS = 2 * IDLE_HEARTBEAT_INTERVAL_MS + 500;

  /**
   * Returns the time limits that follow from those of a platform.
   *
   * @param resubmitAfterMs the time after which a caller submits the same job to another owner; the
   *     owner lease is half of it, so that the runs of the first owner have ended by then
   * @param longestWorkerLeaseMs the longest lease that workers accept
   */
  public static RunTiming of(
      double resubmitAfterMs, double longestWorkerLeaseMs, double killGraceMs) {
    long ownerLeaseMs = (long) (resubmitAfterMs / 2);
    long workerLeaseMs = Math.min(MAX_WORKER_LEASE_MS, (long) longestWorkerLeaseMs);
    return new RunTiming(
        ownerLeaseMs,
        workerLeaseMs,
        (long) Math.ceil(longestWorkerLeaseMs),
        (long) Math.ceil(killGraceMs));
  }

  /** Returns the time after a host's last call by which all runs on the worker have ended. */
  public long workerRunsOverAfterMs() {
    return runsOverAfterMs(workerLeaseMs);
  }

  /**
   * Returns the same after a call that carried a deadline of another clock, so that the worker may
   * have granted its longest lease.
   */
  public long longestWorkerRunsOverAfterMs() {
    return runsOverAfterMs(longestWorkerLeaseMs);
  }

  private long runsOverAfterMs(long leaseMs) {
    return (long) Math.ceil(leaseMs * MAX_LEASE_STRETCH) + killGraceMs;
  }

  /**
   * Returns the longest lease, by a worker's clock, that ensures the end of all its runs within a
   * given time; at most the regular worker lease.
   */
  public long workerLeaseEndingWithinMs(long limitMs) {
    return limitMs >= workerRunsOverAfterMs()
        ? workerLeaseMs
        : (long) Math.floor((limitMs - killGraceMs) / MAX_LEASE_STRETCH);
  }

  /**
   * Returns the time after a broken session by which its runs have ended. The host either is
   * healthy and stops them, or has failed and no longer renews the leases of its workers.
   */
  public long runsOverAfterDisconnectMs() {
    return workerRunsOverAfterMs() + STOP_MARGIN_MS;
  }

  /** Returns the time after an owner gives up a silent host by which its runs there have ended. */
  public long runsOverAfterSilenceMs() {
    return ownerLeaseMs + runsOverAfterDisconnectMs();
  }
}
