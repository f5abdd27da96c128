package io.hingehoist.run.host;

/**
 * Tracks the lease of a peer, counted from the time at which the peer sent its last heartbeat.
 *
 * <p>The send time is taken from the peer's own monotonic clock, so that a heartbeat delayed in
 * transit does not extend the lease. The first heartbeat yields the offset between the two clocks:
 * it was sent between the opening of the connection and its own arrival. The earlier bound is used,
 * because the first heartbeat may have been delayed as well. A lease therefore expires too early by
 * the transit time of the first heartbeat, but never too late. Not thread-safe: confined to the
 * event-loop thread.
 */
final class PeerLease {
  private final long leaseMs;
  private final long openedAtMs;
  private boolean offsetKnown;
  private long clockOffsetMs;
  private long expiresAtMs;
  private long suspectedSleepMs;

  PeerLease(long leaseMs, long openedAtMs) {
    this.leaseMs = leaseMs;
    this.openedAtMs = openedAtMs;
    this.expiresAtMs = openedAtMs + leaseMs;
  }

  void onHeartbeat(long sentAtMs, long nowMs) {
    long latestOffsetMs = nowMs - sentAtMs;
    clockOffsetMs = offsetKnown ? Math.min(clockOffsetMs, latestOffsetMs) : openedAtMs - sentAtMs;
    offsetKnown = true;
    expiresAtMs = Math.max(expiresAtMs, sentAtMs + clockOffsetMs + leaseMs);
  }

  /**
   * Handles a possible sleep of this box, which stops the local clock: the clock offset is smaller
   * and the lease ends earlier than recorded. The answer to a probe that is sent now renews both.
   */
  void onSuspectedSleep(long sleptMs) {
    offsetKnown = false;
    suspectedSleepMs += sleptMs;
  }

  /**
   * Handles the answer to a probe. It was sent after the probe, which gives a better clock offset
   * if the first heartbeat was delayed.
   */
  void onProbeAnswer(long probeSentAtMs, long sentAtMs, long nowMs) {
    long earliestOffsetMs = probeSentAtMs - sentAtMs;
    clockOffsetMs = offsetKnown ? Math.max(clockOffsetMs, earliestOffsetMs) : earliestOffsetMs;
    offsetKnown = true;
    suspectedSleepMs = 0;
    expiresAtMs =
        Math.max(expiresAtMs, sentAtMs + Math.min(clockOffsetMs, nowMs - sentAtMs) + leaseMs);
  }

  /** Returns the time since the heartbeat from which the lease counts was sent. */
  long heartbeatAgeMs(long nowMs) {
    return nowMs - (expiresAtMs - leaseMs);
  }

  /**
   * Returns when the lease expires unless another heartbeat arrives, if all sleeps suspected since
   * the last proof took place.
   */
  long earliestExpiryMs() {
    return expiresAtMs - suspectedSleepMs;
  }

  /** Returns the remaining time of the lease; 0 or less once it has expired. */
  long remainingMs(long nowMs) {
    return expiresAtMs - nowMs;
  }

  boolean isExpired(long nowMs) {
    return nowMs >= expiresAtMs;
  }
}
