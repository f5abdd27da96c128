package io.hingehoist.run;

/**
 * Provides the time without messages after which a connection of a session is considered silent and
 * is replaced.
 *
 * <p>The values balance two requirements. A connection that fails without notice must be replaced
 * quickly, where each 100 ms counts. But processes that have just started, often many at once after
 * a power failure, send late heartbeats because their code is not yet compiled, and replacing their
 * connections costs them processing time that they lack. A session therefore has a longer timeout
 * in its first seconds, which is still within the lease of its runs.
 */
public final class SilenceTimeouts {
  /** By this session age the code of a new process is compiled and its heartbeats are punctual. */
  private static final long STARTUP_PERIOD_MS = 3_000;

  /** Leaves time to send and deliver one heartbeat within the lease of an owner's runs. */
  private static final long STARTUP_TIMEOUT_MS = 550;

  /** The owner's heartbeat interval plus 100 ms for delays. */
  private static final long OWNER_TIMEOUT_MS = RunTiming.HEARTBEAT_INTERVAL_MS + 100;

  /** The same without active runs, with the margin for a slow owner that its lease has too. */
  private static final long IDLE_OWNER_TIMEOUT_MS = RunTiming.IDLE_HEARTBEAT_INTERVAL_MS + 300;

  /**
   * The heartbeat interval plus 150 ms. Hosts answer each heartbeat unless they sent rows within
   * the last 100 ms, and 50 ms are for delays.
   */
  private static final long HOST_TIMEOUT_MS = RunTiming.HEARTBEAT_INTERVAL_MS + 150;

  /** The same without active runs. */
  private static final long IDLE_HOST_TIMEOUT_MS = RunTiming.IDLE_HEARTBEAT_INTERVAL_MS + 350;

  private SilenceTimeouts() {}

  /**
   * Returns the time without messages from an owner after which its host opens another connection.
   *
   * @param idle whether the owner has no active runs at the host
   * @param ageMs the time since the session opened
   */
  public static long forOwnerMs(boolean idle, long ageMs) {
    return idle ? IDLE_OWNER_TIMEOUT_MS : withStartupTimeout(OWNER_TIMEOUT_MS, ageMs);
  }

  /**
   * Returns the time without messages from a host after which its owner gives it no new orders.
   *
   * @param idle whether the owner has no active runs at the host
   * @param ageMs the time since the session opened
   */
  public static long forHostMs(boolean idle, long ageMs) {
    return idle ? IDLE_HOST_TIMEOUT_MS : withStartupTimeout(HOST_TIMEOUT_MS, ageMs);
  }

  private static long withStartupTimeout(long timeoutMs, long ageMs) {
    return ageMs < STARTUP_PERIOD_MS ? STARTUP_TIMEOUT_MS : timeoutMs;
  }
}
