package io.hingehoist.client;

import io.hingehoist.command.MemberRefused;
import io.hingehoist.message.HeartbeatResponse;

/** Static helpers that entries and agents share in keeping their lease and incarnation. */
public final class Leases {
  /** Leases are taken a twentieth shorter, in case two clocks run at different rates. */
  private static final long MARGIN_DIVISOR = 20;

  private Leases() {}

  /**
   * Returns until when a lease may be used, on the clock that timed the request.
   *
   * @param requestSentAtMs when the heartbeat was sent that the response answers
   */
  public static long expiresAtMs(HeartbeatResponse response, long requestSentAtMs) {
    return requestSentAtMs + response.leaseMs() - response.leaseMs() / MARGIN_DIVISOR;
  }

  /** Returns an incarnation above the one that has ended, even if the wall clock went back. */
  public static long nextIncarnation(MemberRefused refused) {
    return Math.max(System.currentTimeMillis(), refused.currentIncarnation() + 1);
  }
}
