package io.hingehoist.run.host;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class PeerLeaseTest {
  private static final long LEASE_MS = 650;

  /** The peer's clock shows this much more. */
  private static final long AHEAD_MS = 1_000_000;

  @Test
  public void eachBeatRenewsFromWhenItWasSent() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(AHEAD_MS + 100, 101);
    lease.onHeartbeat(AHEAD_MS + 280, 281);
    assertFalse(lease.isExpired(280 + LEASE_MS - 1));
    assertTrue(lease.isExpired(280 + LEASE_MS));
  }

  @Test
  public void aBeatThatWasHeldUpRenewsNothing() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(AHEAD_MS + 100, 101);
    lease.onHeartbeat(AHEAD_MS + 280, 3_000);
    assertTrue(lease.isExpired(3_000));
  }

  @Test
  public void anAnswerToAQuestionMakesUpForASlowFirstBeat() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(AHEAD_MS + 700, 700);
    assertTrue(lease.isExpired(750));
    lease.onProbeAnswer(720, AHEAD_MS + 722, 724);
    assertFalse(lease.isExpired(720 + LEASE_MS - 1));
    // The answer may have been sent as early as the question was.
    assertTrue(lease.isExpired(720 + LEASE_MS));
  }

  @Test
  public void anAnswerThatIsHeldUpRenewsFromItsQuestion() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(AHEAD_MS + 101, 101);
    lease.onProbeAnswer(200, AHEAD_MS + 202, 3_000);
    assertTrue(lease.isExpired(3_000));
  }

  /**
   * Played orders, seed 47: a host stood still between the start of a session and its first beat.
   */
  @Test
  public void aFirstBeatThatWasHeldUpRenewsNothing() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(AHEAD_MS + 105, 3_100);
    lease.onHeartbeat(AHEAD_MS + 285, 3_100);
    assertTrue(lease.isExpired(3_100));
  }
}
