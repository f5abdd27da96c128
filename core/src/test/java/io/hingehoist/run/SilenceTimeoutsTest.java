package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class SilenceTimeoutsTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);

  /**
   * Heartbeats of owners that had just started came 300 to 500 ms apart; half of all sessions of a
   * fleet changed their connections for it, while callers waited.
   */
  @Test
  public void aSessionThatBeganAMomentAgoBearsLateHeartbeats() {
    assertTrue(SilenceTimeouts.forOwnerMs(false, 500) > 500);
    assertTrue(SilenceTimeouts.forHostMs(false, 500) > 500);
  }

  @Test
  public void evenThenALostConnectionIsNoticedWithinTheLease() {
    assertTrue(SilenceTimeouts.forOwnerMs(false, 0) < TIMING.ownerLeaseMs());
  }

  @Test
  public void laterASilentConnectionIsNoticedSoon() {
    assertEquals(SilenceTimeouts.forOwnerMs(false, 3_000), 300);
    assertEquals(SilenceTimeouts.forHostMs(false, 3_000), 350);
  }

  @Test
  public void whereNothingRunsAHeartbeatIsDueEachSecond() {
    assertEquals(SilenceTimeouts.forOwnerMs(true, 0), 1_300);
    assertEquals(SilenceTimeouts.forHostMs(true, 9_000), 1_350);
  }
}
