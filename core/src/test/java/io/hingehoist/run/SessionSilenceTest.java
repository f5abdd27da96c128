package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class SessionSilenceTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);

  /**
   * Heartbeats of owners that had just started came 300 to 500 ms apart; half of all sessions of a
   * fleet changed their connections for it, while callers waited.
   */
  @Test
  public void aSessionThatBeganAMomentAgoBearsLateHeartbeats() {
    assertTrue(SessionSilence.ofOwnerMs(false, 500) > 500);
    assertTrue(SessionSilence.ofHostMs(false, 500) > 500);
  }

  @Test
  public void evenThenALostConnectionIsNoticedWithinTheLease() {
    assertTrue(SessionSilence.ofOwnerMs(false, 0) < TIMING.ownerLeaseMs());
  }

  @Test
  public void laterASilentConnectionIsNoticedSoon() {
    assertEquals(SessionSilence.ofOwnerMs(false, 3_000), 300);
    assertEquals(SessionSilence.ofHostMs(false, 3_000), 350);
  }

  @Test
  public void whereNothingRunsAHeartbeatIsDueEachSecond() {
    assertEquals(SessionSilence.ofOwnerMs(true, 0), 1_300);
    assertEquals(SessionSilence.ofHostMs(true, 9_000), 1_350);
  }
}
