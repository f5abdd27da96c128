package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a run of a lost owner that continues beyond the time at which other processes
 * assume its end.
 */
public final class OverdueStopTest {
  private static final long LOST_OWNER_SESSION = 7;
  private static final long OTHER_OWNER_SESSION = 8;
  private static final String WORKER = "w1";
  private static final RunRef RUN_OF_LOST_OWNER = new RunRef("j.0.0", 1);
  private static final RunRef RUN_OF_OTHER_OWNER = new RunRef("k.0.0", 1);
  private static final RunRef LATER_RUN = new RunRef("l.0.0", 1);

  private HostFixture fixture;

  @BeforeMethod
  public void createWorkerWithRunsOfTwoOwners() {
    fixture = HostFixture.startedLongBefore(1_000);
    fixture.host.workerHeartbeat(HostFixture.worker(WORKER, new Room(4_000, 100, 0), 1), 1_000);
    fixture.collectEffects(1_000);
    fixture.answerPoll(WORKER, 1_000, List.of());
    fixture.host.sessionOpened(LOST_OWNER_SESSION, "lost", 1_000);
    fixture.host.sessionOpened(OTHER_OWNER_SESSION, "other", 1_000);
    heartbeat(LOST_OWNER_SESSION, 1_000);
    heartbeat(OTHER_OWNER_SESSION, 1_000);
    fixture.start(LOST_OWNER_SESSION, WORKER, 1_000, RUN_OF_LOST_OWNER);
    fixture.start(OTHER_OWNER_SESSION, WORKER, 1_000, RUN_OF_OTHER_OWNER);
    fixture.collectEffects(1_000);
  }

  private void heartbeat(long session, long nowMs) {
    fixture.host.ownerHeartbeat(session, nowMs, true, nowMs);
    fixture.collectEffects(nowMs);
  }

  private void loseOwner(long nowMs) {
    heartbeat(OTHER_OWNER_SESSION, nowMs);
    fixture.host.sessionEnded(LOST_OWNER_SESSION, "its process is gone", nowMs);
    fixture.collectEffects(nowMs);
    assertEquals(fixture.all(HostEffect.StopCall.class).getFirst().run(), RUN_OF_LOST_OWNER);
  }

  private void loseStopCall(long nowMs) {
    fixture.host.stopCallCompleted(WORKER, RUN_OF_LOST_OWNER, false, nowMs);
    fixture.collectEffects(nowMs);
  }

  private void answerPoll(long nowMs) {
    fixture.answerPoll(WORKER, nowMs, List.of(RUN_OF_LOST_OWNER, RUN_OF_OTHER_OWNER));
  }

  private long newestDeadlineMs() {
    return fixture.all(HostEffect.PollCall.class).getLast().deadlineMs();
  }

  /** Returns when all runs are over under a deadline that is sent immediately after a list. */
  private static long overAtMs(long deadlineMs, long listedAtMs) {
    long leaseMs = deadlineMs - PollResults.listed(listedAtMs, List.of()).workerClockMs();
    return listedAtMs + (long) Math.ceil(leaseMs * 1.02) + HostFixture.TIMING.killGraceMs();
  }

  @Test
  public void theLeaseOfAWorkerIsNotRenewedWhileAStopIsUnanswered() {
    loseOwner(1_400);
    loseStopCall(1_430);
    answerPoll(1_460);
    answerPoll(1_510);
    assertEquals(newestDeadlineMs(), 0);
  }

  @Test
  public void aStartDoesNotExtendTheLeaseBeyondTheEndOfAnOverdueRun() {
    loseOwner(1_400);
    loseStopCall(1_430);
    answerPoll(1_460);
    fixture.order(OTHER_OWNER_SESSION, WORKER, 1_460, LATER_RUN);
    long deadlineMs = fixture.all(HostEffect.StartCall.class).getFirst().deadlineMs();
    long mustEndByMs = 1_400 + HostFixture.TIMING.workerRunsOverAfterMs();
    assertTrue(overAtMs(deadlineMs, 1_460) <= mustEndByMs, "deadline " + deadlineMs);
  }

  @Test
  public void nothingStartsUnderALeaseThatIsAboutToExpire() {
    loseOwner(1_400);
    loseStopCall(1_430);
    answerPoll(1_460);
    heartbeat(OTHER_OWNER_SESSION, 2_000);
    answerPoll(2_100);
    fixture.order(OTHER_OWNER_SESSION, WORKER, 2_100, LATER_RUN);
    assertEquals(fixture.all(HostEffect.StartCall.class), List.of());
    assertEquals(
        fixture.sent(OTHER_OWNER_SESSION, RunNotStarted.class).getFirst().run(), LATER_RUN);
  }

  @Test
  public void theLeaseIsRenewedAgainOnceTheStoppedRunIsOver() {
    loseOwner(1_400);
    loseStopCall(1_430);
    answerPoll(1_460);
    fixture.host.stopCallCompleted(WORKER, RUN_OF_LOST_OWNER, true, 1_470);
    fixture.answerPoll(
        WORKER,
        1_540,
        List.of(RUN_OF_OTHER_OWNER),
        new PollResult.Ended(1, RUN_OF_LOST_OWNER, RunEnd.STOPPED));
    assertTrue(newestDeadlineMs() > 0);
  }

  @Test
  public void aRunThatContinuesAfterAConfirmedStopIsStoppedAgain() {
    loseOwner(1_400);
    fixture.host.stopCallCompleted(WORKER, RUN_OF_LOST_OWNER, true, 1_405);
    answerPoll(1_460);
    answerPoll(1_510);
    HostEffect.StopCall again = fixture.all(HostEffect.StopCall.class).getFirst();
    assertEquals(again.run(), RUN_OF_LOST_OWNER);
    assertEquals(fixture.host.runCount(), 2);
  }

  @Test
  public void theLeaseIsNotRenewedForAnOwnerWhoseLeaseHasExpired() {
    heartbeat(OTHER_OWNER_SESSION, 1_600);
    long ownerLeaseExpiresAtMs = 1_000 + HostFixture.TIMING.ownerLeaseMs();
    answerPoll(ownerLeaseExpiresAtMs - 10);
    heartbeat(OTHER_OWNER_SESSION, ownerLeaseExpiresAtMs + 100);
    answerPoll(ownerLeaseExpiresAtMs + 150);
    assertEquals(newestDeadlineMs(), 0);
  }

  @Test
  public void runsOfAKilledOwnerAreOverBeforeItsCallersResubmit() {
    long callersResubmitAtMs = 1_000 + 2 * HostFixture.TIMING.ownerLeaseMs();
    for (long atMs = 1_050; atMs <= 1_640; atMs += 50) {
      heartbeat(OTHER_OWNER_SESSION, atMs);
      answerPoll(atMs);
      long deadlineMs = newestDeadlineMs();
      assertTrue(deadlineMs == 0 || overAtMs(deadlineMs, atMs) < callersResubmitAtMs, "at " + atMs);
    }
  }

  @Test
  public void nothingStartsUnderALeaseThatOutlastsTheRunsOfItsOwner() {
    long idleOwnerSession = 9;
    fixture.host.sessionOpened(idleOwnerSession, "idle", 1_000);
    heartbeat(idleOwnerSession, 1_000);
    heartbeat(LOST_OWNER_SESSION, 1_600);
    heartbeat(OTHER_OWNER_SESSION, 1_600);
    answerPoll(1_640);
    long callersResubmitAtMs = 1_000 + 2 * HostFixture.TIMING.ownerLeaseMs();
    assertTrue(overAtMs(newestDeadlineMs(), 1_640) > callersResubmitAtMs);
    fixture.order(idleOwnerSession, WORKER, 1_645, LATER_RUN);
    assertEquals(fixture.all(HostEffect.StartCall.class), List.of());
    assertEquals(fixture.sent(idleOwnerSession, RunNotStarted.class).getFirst().run(), LATER_RUN);
    heartbeat(idleOwnerSession, 1_646);
    fixture.order(idleOwnerSession, WORKER, 1_647, LATER_RUN);
    assertEquals(fixture.all(HostEffect.StartCall.class).getFirst().run(), LATER_RUN);
  }

  @Test
  public void theLeaseIsNotRenewedForAnUnknownRunWhoseStopIsUnanswered() {
    fixture.answerPoll(WORKER, 1_050, List.of(LATER_RUN, RUN_OF_LOST_OWNER, RUN_OF_OTHER_OWNER));
    assertEquals(fixture.all(HostEffect.StopCall.class).getFirst().run(), LATER_RUN);
    assertEquals(newestDeadlineMs(), 0);
  }

  @Test
  public void aRepeatedStartExtendsTheTimeAtWhichStartCallsExpire() {
    fixture.order(OTHER_OWNER_SESSION, WORKER, 1_010, LATER_RUN);
    heartbeat(OTHER_OWNER_SESSION, 1_300);
    fixture.host.startCallCompleted(WORKER, LATER_RUN, new StartResult.Unanswered(), 1_300);
    heartbeat(OTHER_OWNER_SESSION, 1_310);
    fixture.host.stopRun(OTHER_OWNER_SESSION, LATER_RUN, 1_310);
    long firstCallExpiresAtMs = 1_010 + HostFixture.TIMING.workerRunsOverAfterMs();
    heartbeat(OTHER_OWNER_SESSION, firstCallExpiresAtMs);
    fixture.answerPoll(WORKER, firstCallExpiresAtMs, List.of());
    fixture.host.onTick(firstCallExpiresAtMs + 50);
    fixture.collectEffects(firstCallExpiresAtMs + 50);
    fixture.answerPoll(WORKER, firstCallExpiresAtMs + 60, List.of());
    assertTrue(
        fixture.sent(OTHER_OWNER_SESSION, RunEnded.class).stream()
            .noneMatch(e -> e.run().equals(LATER_RUN)));
  }

  @Test
  public void aRunThatNeverStartedIsOverOnceItsDeadlineHasPassed() {
    heartbeat(LOST_OWNER_SESSION, 1_300);
    heartbeat(OTHER_OWNER_SESSION, 1_300);
    fixture.order(LOST_OWNER_SESSION, WORKER, 1_300, LATER_RUN);
    fixture.host.startCallCompleted(WORKER, LATER_RUN, new StartResult.Unanswered(), 1_330);
    loseOwner(1_340);
    long runsOverAtMs = 1_330 + HostFixture.TIMING.workerRunsOverAfterMs();
    heartbeat(OTHER_OWNER_SESSION, runsOverAtMs);
    assertEquals(fixture.host.runCount(), 3);
    fixture.answerPoll(
        WORKER,
        runsOverAtMs,
        List.of(),
        new PollResult.Ended(1, RUN_OF_LOST_OWNER, RunEnd.LAPSED),
        new PollResult.Ended(2, RUN_OF_OTHER_OWNER, RunEnd.LAPSED));
    assertEquals(fixture.sent(OTHER_OWNER_SESSION, RunEnded.class).getFirst().end(), RunEnd.LAPSED);
    assertEquals(fixture.host.runCount(), 1);
    fixture.host.onTick(runsOverAtMs + 50);
    fixture.collectEffects(runsOverAtMs + 50);
    fixture.answerPoll(WORKER, runsOverAtMs + 60, List.of());
    assertEquals(fixture.host.runCount(), 0);
  }
}
