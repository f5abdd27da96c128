package io.hingehoist.run.host;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class LeaseClockTest {
  private static final long LEASE_MS = 650;

  /** The peer's clock shows this much more. */
  private static final long AHEAD_MS = 1_000_000;

  @Test
  public void eachBeatRenewsFromWhenItWasSent() {
    LeaseClock lease = new LeaseClock(LEASE_MS, 100);
    lease.onBeat(AHEAD_MS + 100, 101);
    lease.onBeat(AHEAD_MS + 280, 281);
    assertFalse(lease.isOver(280 + LEASE_MS - 1));
    assertTrue(lease.isOver(280 + LEASE_MS));
  }

  @Test
  public void aBeatThatWasHeldUpRenewsNothing() {
    LeaseClock lease = new LeaseClock(LEASE_MS, 100);
    lease.onBeat(AHEAD_MS + 100, 101);
    lease.onBeat(AHEAD_MS + 280, 3_000);
    assertTrue(lease.isOver(3_000));
  }

  @Test
  public void anAnswerToAQuestionMakesUpForASlowFirstBeat() {
    LeaseClock lease = new LeaseClock(LEASE_MS, 100);
    lease.onBeat(AHEAD_MS + 700, 700);
    assertTrue(lease.isOver(750));
    lease.onAnswer(720, AHEAD_MS + 722, 724);
    assertFalse(lease.isOver(720 + LEASE_MS - 1));
    // The answer may have been sent as early as the question was.
    assertTrue(lease.isOver(720 + LEASE_MS));
  }

  @Test
  public void anAnswerThatIsHeldUpRenewsFromItsQuestion() {
    LeaseClock lease = new LeaseClock(LEASE_MS, 100);
    lease.onBeat(AHEAD_MS + 101, 101);
    lease.onAnswer(200, AHEAD_MS + 202, 3_000);
    assertTrue(lease.isOver(3_000));
  }

  /**
   * Played orders, seed 47: a host stood still between the start of a session and its first beat.
   */
  @Test
  public void aFirstBeatThatWasHeldUpRenewsNothing() {
    LeaseClock lease = new LeaseClock(LEASE_MS, 100);
    lease.onBeat(AHEAD_MS + 105, 3_100);
    lease.onBeat(AHEAD_MS + 285, 3_100);
    assertTrue(lease.isOver(3_100));
  }
}
