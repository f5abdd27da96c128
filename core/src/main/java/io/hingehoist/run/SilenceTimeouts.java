package io.hingehoist.run;

/**
 * How long nothing may be heard on a connection of a session until it counts as silent and another
 * one takes its place.
 *
 * <p>Two loads pull apart: connections that fall silent without a word, where each 100 ms count,
 * and processes that have just started, most of them together after a loss of power, whose
 * heartbeats come late as their code is cold. To replace connections then costs them what they
 * lack. So a session is given more time in its first seconds, within the lease of its runs.
 */
public final class SilenceTimeouts {
  /** By then the code of a process that started has run often enough to keep its times. */
  private static final long EARLY_MS = 3_000;

  /** Within the lease of an owner's runs, less one heartbeat and its way. */
  private static final long EARLY_AFTER_MS = 550;

  /** The owner's period and 100 ms for what holds a heartbeat up. */
  private static final long OWNER_AFTER_MS = RunTiming.HEARTBEAT_PERIOD_MS + 100;

  /** The same where nothing of the owner runs, with as much for a slow owner as for its lease. */
  private static final long IDLE_OWNER_AFTER_MS = RunTiming.IDLE_HEARTBEAT_PERIOD_MS + 300;

  /**
   * Hosts answer each heartbeat, but for those that come within 100 ms of rows that were shown, and
   * 50 ms for what holds them up.
   */
  private static final long HOST_AFTER_MS = RunTiming.HEARTBEAT_PERIOD_MS + 150;

  /** The same where nothing of the owner runs. */
  private static final long IDLE_HOST_AFTER_MS = RunTiming.IDLE_HEARTBEAT_PERIOD_MS + 350;

  private SilenceTimeouts() {}

  /**
   * Returns after which silence of an owner its host opens another connection.
   *
   * @param idle whether nothing of the owner runs there
   * @param ageMs the time since the session began
   */
  public static long forOwnerMs(boolean idle, long ageMs) {
    return idle ? IDLE_OWNER_AFTER_MS : early(OWNER_AFTER_MS, ageMs);
  }

  /**
   * Returns after which silence of a host its owner gives it nothing new.
   *
   * @param idle whether nothing of the owner runs there
   * @param ageMs the time since the session began
   */
  public static long forHostMs(boolean idle, long ageMs) {
    return idle ? IDLE_HOST_AFTER_MS : early(HOST_AFTER_MS, ageMs);
  }

  private static long early(long afterMs, long ageMs) {
    return ageMs < EARLY_MS ? EARLY_AFTER_MS : afterMs;
  }
}
