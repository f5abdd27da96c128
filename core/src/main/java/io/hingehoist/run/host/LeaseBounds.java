package io.hingehoist.run.host;

import io.hingehoist.run.RunTiming;

/**
 * Computes how far the lease of a worker may be renewed.
 *
 * <p>A lease applies to all runs of a worker, so it has to expire in time for the run that must be
 * over first. A run must be over at a certain time if its owner is silent or has stopped it: other
 * processes assume its end from then on. Not thread-safe: confined to the event-loop thread.
 */
final class LeaseBounds {
  /** A run that is started under a shorter lease would hardly finish within it. */
  private static final long MIN_START_LEASE_MS = 200;

  /** Allows for delays on the way to the worker and for the deviation of a caller's clock. */
  private static final long MARGIN_MS = 100;

  private final RunTiming timing;
  private final OwnerSessions sessions;

  LeaseBounds(RunTiming timing, OwnerSessions sessions) {
    this.timing = timing;
    this.sessions = sessions;
  }

  /** Returns the time at which all runs of a worker must be over under a lease granted now. */
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
   * Returns when the runs of an owner must be over unless it sends another heartbeat: its callers
   * then resubmit their jobs elsewhere.
   */
  long ownerRunsEndByMs(OwnerSession session) {
    return session.lease.earliestExpiryMs() + timing.ownerLeaseMs() - MARGIN_MS;
  }

  /** Returns when a run that is stopped now must be over. */
  long stoppedRunEndsByMs(long nowMs) {
    return nowMs + timing.workerRunsOverAfterMs();
  }

  /**
   * Returns whether a run of an owner that starts now can get a lease that is long enough. The
   * lease that the worker already has must not outlast the time at which the owner's runs must be
   * over.
   */
  boolean allowsStart(WorkerInstance instance, OwnerSession session, long nowMs) {
    long endMs = Math.max(instance.runsOverAtEarliestMs(), latestEndMs(instance, nowMs));
    return endMs - nowMs >= MIN_START_LEASE_MS
        && instance.runsOverAtMs() <= ownerRunsEndByMs(session);
  }
}
