package io.hingehoist.run;

/**
 * The times on which owners and hosts must agree, in milliseconds.
 *
 * @param ownerLeaseMs the silence of an owner after which its host stops its runs
 * @param workerLeaseMs the longest time that a worker runs on after its host's last call
 * @param killGraceMs the time that a worker takes to end a run
 */
public record RunTiming(long ownerLeaseMs, long workerLeaseMs, long killGraceMs) {
  /** A worker's clock may run slow by two in a hundred. */
  private static final double SLOWEST_CLOCK = 1.02;

  /** Time for a stop to be carried out by a host that is well, beyond the worker's own. */
  private static final long STOP_MARGIN_MS = 100;

  /**
   * The longest lease that a host asks for: long enough for some lost renewals, and short to wait
   * for.
   */
  private static final long LONGEST_LEASE_MS = 800;

  /**
   * The period of an owner's heartbeats to a host where runs of it may be going on. A lease of 650
   * ms is left with 450 for a silent connection to be noticed (300) and replaced.
   */
  public static final long HEARTBEAT_PERIOD_MS = 200;

  /**
   * The same where nothing of the owner runs, so that no lease needs to be renewed: most pairs of a
   * large fleet share no run, and their heartbeats would grow with the product of both.
   */
  public static final long IDLE_HEARTBEAT_PERIOD_MS = 1_000;

  /** A session without runs is over after two lost heartbeats and 500 ms for what holds one up. */
  public static final long IDLE_SESSION_TIMEOUT_MS = 2 * IDLE_HEARTBEAT_PERIOD_MS + 500;

  /**
   * Returns the times that follow from those of a platform.
   *
   * @param resubmitAfterMs when a caller brings the same job to another owner: half of it, so that
   *     the runs of the first are over by then
   * @param longestWorkerLeaseMs the longest lease that workers take
   */
  public static RunTiming of(
      double resubmitAfterMs, double longestWorkerLeaseMs, double killGraceMs) {
    long ownerLeaseMs = (long) (resubmitAfterMs / 2);
    long workerLeaseMs = Math.min(LONGEST_LEASE_MS, (long) longestWorkerLeaseMs);
    return new RunTiming(ownerLeaseMs, workerLeaseMs, (long) Math.ceil(killGraceMs));
  }

  /** Returns the time after a host's last call at which everything on its worker is over. */
  public long workerRunsOverAfterMs() {
    return (long) Math.ceil(workerLeaseMs * SLOWEST_CLOCK) + killGraceMs;
  }

  /**
   * Returns the lease, by a worker's clock, after which everything there is over within a time;
   * never longer than the usual one.
   */
  public long workerLeaseEndingWithinMs(long overAfterMs) {
    return overAfterMs >= workerRunsOverAfterMs()
        ? workerLeaseMs
        : (long) Math.floor((overAfterMs - killGraceMs) / SLOWEST_CLOCK);
  }

  /**
   * Returns the time after a broken session at which its runs are over: the host is well or dead.
   */
  public long runsOverAfterDisconnectMs() {
    return workerRunsOverAfterMs() + STOP_MARGIN_MS;
  }

  /** Returns the time after an owner gave up a silent host at which its runs there are over. */
  public long runsOverAfterSilenceMs() {
    return ownerLeaseMs + runsOverAfterDisconnectMs();
  }
}
