package io.hingehoist.run.load;

import java.util.Optional;

/**
 * Turns away jobs that wait in vain, as soon as that is known: a caller that is refused late has
 * lost the time to go elsewhere.
 *
 * <p>It answers two loads: more work than room, where what is not begun by a part of its time
 * hardly ever earns anything afterwards; and no worker at all, as after a loss of power.
 */
public final class RefusalPolicy {
  private static final long RETRY_AFTER_MS = 1_000;

  /**
   * Of the time after which an answer is worth nothing, how long a job waits for its first start.
   */
  private static final double UNBEGUN_SHARE = 0.4;

  /** After so long without any worker, jobs are refused that can't wait for one to be found. */
  private static final long WITHOUT_WORKERS_MS = 250;

  /** What is of use after this time may wait: by then workers are found after a loss of power. */
  private static final long PATIENCE_WITHOUT_WORKERS_MS = 2_000;

  /**
   * A refusal of a job of which nothing has run.
   *
   * @param retryAfterMs the time after which another try is of use
   */
  public record Refusal(String reason, long retryAfterMs) {}

  /**
   * How long workers must be known before a task counts as wider than all of them: a process that
   * has just started meets its hosts within this time.
   */
  private static final long FLEET_KNOWN_AFTER_MS = 2_000;

  private RefusalPolicy() {}

  /**
   * Returns why a job is to be refused that has a task which fits no known worker, even an empty
   * one; empty if the fleet is not known long enough to say so.
   *
   * @param fleetKnownForMs the time since a worker was first known
   */
  public static Optional<Refusal> refusalOfOversized(long fleetKnownForMs) {
    return fleetKnownForMs < FLEET_KNOWN_AFTER_MS
        ? Optional.empty()
        : Optional.of(new Refusal("wider than every worker", RETRY_AFTER_MS));
  }

  /**
   * Returns why a job that was not started is to be refused now; empty if it may go on waiting.
   *
   * @param waitedMs the time since it was taken
   * @param expiresAfterMs the time after which its answer is worth nothing
   * @param withoutWorkersMs the time since a worker was last known that takes runs
   */
  public static Optional<Refusal> refusalOfUnstarted(
      long waitedMs, long expiresAfterMs, long withoutWorkersMs) {
    if (waitedMs >= UNBEGUN_SHARE * expiresAfterMs) {
      return Optional.of(new Refusal("no room in time", RETRY_AFTER_MS));
    }
    if (expiresAfterMs < PATIENCE_WITHOUT_WORKERS_MS && withoutWorkersMs >= WITHOUT_WORKERS_MS) {
      return Optional.of(new Refusal("no worker is known", RETRY_AFTER_MS));
    }
    return Optional.empty();
  }
}
