package io.hingehoist.run.host;

/**
 * Counts the lease of a peer from the moment at which the peer sent its last beat, by the peer's
 * own steady clock, so that a beat that was held up on its way renews nothing.
 *
 * <p>The two clocks are compared by the first beat. It was sent after the connection began, and no
 * later than it came; the earlier of the two is taken, as the first beat may have been held up as
 * well. A lease so ends too early by the time that the first beat took, never too late. Not
 * thread-safe.
 */
final class PeerLease {
  private final long leaseMs;
  private final long openedAtMs;
  private boolean compared;
  private long clockOffsetMs;
  private long expiresAtMs;

  PeerLease(long leaseMs, long openedAtMs) {
    this.leaseMs = leaseMs;
    this.openedAtMs = openedAtMs;
    this.expiresAtMs = openedAtMs + leaseMs;
  }

  void onHeartbeat(long sentAtMs, long nowMs) {
    long latestOffsetMs = nowMs - sentAtMs;
    clockOffsetMs = compared ? Math.min(clockOffsetMs, latestOffsetMs) : openedAtMs - sentAtMs;
    compared = true;
    expiresAtMs = Math.max(expiresAtMs, sentAtMs + clockOffsetMs + leaseMs);
  }

  /**
   * Takes a beat that answers a question: it was sent after the question was, which compares the
   * clocks anew where the first beat took long.
   */
  void onProbeAnswer(long probeSentAtMs, long sentAtMs, long nowMs) {
    long earliestOffsetMs = probeSentAtMs - sentAtMs;
    clockOffsetMs = compared ? Math.max(clockOffsetMs, earliestOffsetMs) : earliestOffsetMs;
    compared = true;
    expiresAtMs =
        Math.max(expiresAtMs, sentAtMs + Math.min(clockOffsetMs, nowMs - sentAtMs) + leaseMs);
  }

  /** Returns how long ago the beat was sent that the lease counts from. */
  long heartbeatAgeMs(long nowMs) {
    return nowMs - (expiresAtMs - leaseMs);
  }

  /** Returns when the lease is over unless another beat comes. */
  long expiresAtMs() {
    return expiresAtMs;
  }

  /** Returns how long the lease lasts yet; 0 or less once it is over. */
  long remainingMs(long nowMs) {
    return expiresAtMs - nowMs;
  }

  boolean isExpired(long nowMs) {
    return nowMs >= expiresAtMs;
  }
}
