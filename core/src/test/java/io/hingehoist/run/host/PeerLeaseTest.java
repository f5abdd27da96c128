package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class PeerLeaseTest {
  private static final long LEASE_MS = 650;

  /** The difference between the peer's clock and the local clock. */
  private static final long CLOCK_OFFSET_MS = 1_000_000;

  @Test
  public void aHeartbeatRenewsTheLeaseFromItsSendTime() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(CLOCK_OFFSET_MS + 100, 101);
    lease.onHeartbeat(CLOCK_OFFSET_MS + 280, 281);
    assertFalse(lease.isExpired(280 + LEASE_MS - 1));
    assertTrue(lease.isExpired(280 + LEASE_MS));
  }

  @Test
  public void aDelayedHeartbeatDoesNotExtendTheLease() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(CLOCK_OFFSET_MS + 100, 101);
    lease.onHeartbeat(CLOCK_OFFSET_MS + 280, 3_000);
    assertTrue(lease.isExpired(3_000));
  }

  @Test
  public void aProbeAnswerCorrectsTheOffsetOfADelayedFirstHeartbeat() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(CLOCK_OFFSET_MS + 700, 700);
    assertTrue(lease.isExpired(750));
    lease.onProbeAnswer(720, CLOCK_OFFSET_MS + 722, 724);
    assertFalse(lease.isExpired(720 + LEASE_MS - 1));
    // The answer may have been sent as early as the probe.
    assertTrue(lease.isExpired(720 + LEASE_MS));
  }

  @Test
  public void aDelayedProbeAnswerRenewsTheLeaseFromTheProbe() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(CLOCK_OFFSET_MS + 101, 101);
    lease.onProbeAnswer(200, CLOCK_OFFSET_MS + 202, 3_000);
    assertTrue(lease.isExpired(3_000));
  }

  /**
   * Guards against a lease that is extended by a delayed first heartbeat: the host was paused
   * between the opening of the session and the arrival of the heartbeat (run simulation, seed 47).
   */
  @Test
  public void aDelayedFirstHeartbeatDoesNotExtendTheLease() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(CLOCK_OFFSET_MS + 105, 3_100);
    lease.onHeartbeat(CLOCK_OFFSET_MS + 285, 3_100);
    assertTrue(lease.isExpired(3_100));
  }

  @Test
  public void aDelayedHeartbeatDoesNotExtendTheLeaseAfterASleep() {
    long sleptMs = 4_000;
    long offsetAfterSleepMs = CLOCK_OFFSET_MS + sleptMs;
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onHeartbeat(CLOCK_OFFSET_MS + 100, 101);
    lease.onSuspectedSleep(sleptMs);
    lease.onProbeAnswer(200, offsetAfterSleepMs + 202, 204);
    lease.onHeartbeat(offsetAfterSleepMs + 400, 3_000);
    assertTrue(lease.isExpired(3_000));
  }

  @Test
  public void aLeaseEndsEarlierByAllSleepsSuspectedSinceTheLastProof() {
    PeerLease lease = new PeerLease(LEASE_MS, 100);
    lease.onSuspectedSleep(200);
    lease.onSuspectedSleep(150);
    assertEquals(lease.earliestExpiryMs(), 100 + LEASE_MS - 350);
    lease.onProbeAnswer(120, CLOCK_OFFSET_MS + 122, 124);
    assertEquals(lease.earliestExpiryMs(), 120 + LEASE_MS);
  }
}
