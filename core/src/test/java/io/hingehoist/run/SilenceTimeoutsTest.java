package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class SilenceTimeoutsTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);

  /**
   * Heartbeats of owners that have just started can be 300 to 500 ms apart. With a shorter timeout,
   * half of all sessions of a fleet replaced their connections while callers waited.
   */
  @Test
  public void aNewSessionToleratesLateHeartbeats() {
    assertTrue(SilenceTimeouts.forOwnerMs(false, 500) > 500);
    assertTrue(SilenceTimeouts.forHostMs(false, 500) > 500);
  }

  @Test
  public void aLostConnectionIsDetectedWithinTheLeaseEvenInANewSession() {
    assertTrue(SilenceTimeouts.forOwnerMs(false, 0) < TIMING.ownerLeaseMs());
  }

  @Test
  public void anOlderSessionDetectsASilentConnectionSooner() {
    assertEquals(SilenceTimeouts.forOwnerMs(false, 3_000), 300);
    assertEquals(SilenceTimeouts.forHostMs(false, 3_000), 350);
  }

  @Test
  public void anIdleSessionExpectsAHeartbeatEachSecond() {
    assertEquals(SilenceTimeouts.forOwnerMs(true, 0), 1_300);
    assertEquals(SilenceTimeouts.forHostMs(true, 9_000), 1_350);
  }
}
