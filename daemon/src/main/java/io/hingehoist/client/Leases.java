package io.hingehoist.client;

import io.hingehoist.command.MemberRefused;
import io.hingehoist.message.HeartbeatResponse;

/** Static helpers for the leases and incarnations of entries and agents. */
public final class Leases {
  /**
   * Divisor for the safety margin: leases are used for a twentieth less than granted, in case two
   * clocks run at different rates.
   */
  private static final long MARGIN_DIVISOR = 20;

  private Leases() {}

  /**
   * Returns the time at which a lease expires, on the clock that timed the request.
   *
   * @param requestSentAtMs when the heartbeat was sent to which the response belongs
   */
  public static long expiresAtMs(HeartbeatResponse response, long requestSentAtMs) {
    return requestSentAtMs + response.leaseMs() - response.leaseMs() / MARGIN_DIVISOR;
  }

  /**
   * Returns an incarnation greater than the one that has ended, even if the wall clock was set
   * back.
   */
  public static long nextIncarnation(MemberRefused refused) {
    return Math.max(System.currentTimeMillis(), refused.currentIncarnation() + 1);
  }
}
