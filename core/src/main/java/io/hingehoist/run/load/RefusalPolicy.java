package io.hingehoist.run.load;

import java.util.Optional;

/**
 * Decides which waiting jobs to refuse because they are unlikely to be answered in time. Jobs are
 * refused as early as this is known, since a late refusal leaves the caller no time to go
 * elsewhere.
 *
 * <p>The policy covers two situations: overload, where a job that has not started within a fraction
 * of its time is hardly ever answered in time; and the absence of workers, as after a power
 * failure.
 */
public final class RefusalPolicy {
  private static final long RETRY_AFTER_MS = 1_000;

  /** The fraction of the time to its expiry that a job may wait for its first start. */
  private static final double MAX_UNSTARTED_SHARE = 0.4;

  /** After this time without workers, jobs are refused that expire too soon to wait for one. */
  private static final long MAX_WITHOUT_WORKERS_MS = 250;

  /**
   * Jobs that expire later than this may wait without workers: after a power failure, workers are
   * found within this time.
   */
  private static final long MIN_EXPIRY_TO_WAIT_MS = 2_000;

  /**
   * The refusal of a job that has not started.
   *
   * @param retryAfterMs the time after which a retry is worthwhile
   */
  public record Refusal(String reason, long retryAfterMs) {}

  /**
   * How long workers must be known before a task is considered too large for all of them. A process
   * that has just started connects to its hosts within this time.
   */
  private static final long FLEET_DISCOVERY_MS = 2_000;

  private RefusalPolicy() {}

  /**
   * Returns the refusal of a job with a task that fits no known worker, even an empty one; empty if
   * the fleet has not been known long enough to refuse the job.
   *
   * @param fleetKnownForMs the time since the first worker was known
   */
  public static Optional<Refusal> refusalOfOversized(long fleetKnownForMs) {
    return fleetKnownForMs < FLEET_DISCOVERY_MS
        ? Optional.empty()
        : Optional.of(new Refusal("wider than every worker", RETRY_AFTER_MS));
  }

  /**
   * Returns the refusal of a job that has not started; empty if the job may continue to wait.
   *
   * @param waitedMs the time since the job was accepted
   * @param expiresAfterMs the time after which its answer is of no use
   * @param withoutWorkersMs the time since a worker that accepts runs was last known
   */
  public static Optional<Refusal> refusalOfUnstarted(
      long waitedMs, long expiresAfterMs, long withoutWorkersMs) {
    if (waitedMs >= MAX_UNSTARTED_SHARE * expiresAfterMs) {
      return Optional.of(new Refusal("no room in time", RETRY_AFTER_MS));
    }
    if (expiresAfterMs < MIN_EXPIRY_TO_WAIT_MS && withoutWorkersMs >= MAX_WITHOUT_WORKERS_MS) {
      return Optional.of(new Refusal("no worker is known", RETRY_AFTER_MS));
    }
    return Optional.empty();
  }
}
