package io.hingehoist.run.host;

import io.hingehoist.run.RunTiming;

/**
 * How far the lease of a worker may be renewed. A lease holds for all runs of a worker, so it ends
 * in time for the run that has to be over first: its owner is not heard, or wants it stopped, and
 * others count the time after which it is over. Owned by {@link WorkerHost}.
 */
final class LeaseBounds {
  /** A run that is started on a shorter lease would hardly end within it. */
  private static final long MIN_START_LEASE_MS = 200;

  /** Time for what is late on its way to the worker, and for a caller's clock. */
  private static final long MARGIN_MS = 100;

  private final RunTiming timing;
  private final OwnerSessions sessions;

  LeaseBounds(RunTiming timing, OwnerSessions sessions) {
    this.timing = timing;
    this.sessions = sessions;
  }

  /** Returns until when a lease that is granted now may keep the runs of a worker going. */
  long latestEndMs(WorkerInstance instance, long nowMs) {
    long latestMs = nowMs + timing.workerRunsOverAfterMs();
    for (HostedRun run : instance.runs()) {
      latestMs = Math.min(latestMs, Math.min(run.mustEndByMs(), mustEndByMs(run)));
    }
    return latestMs;
  }

  private long mustEndByMs(HostedRun run) {
    return sessions.find(run.sessionId).map(this::ownerRunsEndByMs).orElse(Long.MAX_VALUE);
  }

  /**
   * Returns when the runs of an owner are due to be over unless it is heard: its callers return.
   */
  long ownerRunsEndByMs(OwnerSession session) {
    return session.lease.expiresAtMs() + timing.ownerLeaseMs() - MARGIN_MS;
  }

  /** Returns when a run is due to be over that is to be stopped now. */
  long stoppedRunEndsByMs(long nowMs) {
    return nowMs + timing.workerRunsOverAfterMs();
  }

  /** Returns whether a run that starts now can have a lease that is of use. */
  boolean allowsStart(WorkerInstance instance, long nowMs) {
    long overMs = Math.max(instance.leaseOverAtMs(), latestEndMs(instance, nowMs));
    return overMs - nowMs >= MIN_START_LEASE_MS;
  }
}
