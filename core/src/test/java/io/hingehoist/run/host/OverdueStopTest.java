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

/** A run of a lost owner went on beyond the time after which others take it for over. */
public final class OverdueStopTest {
  private static final long LOST = 7;
  private static final long OTHER = 8;
  private static final String WORKER = "w1";
  private static final RunRef OF_LOST = new RunRef("j.0.0", 1);
  private static final RunRef OF_OTHER = new RunRef("k.0.0", 1);
  private static final RunRef LATER = new RunRef("l.0.0", 1);

  private HostFixture fixture;

  @BeforeMethod
  public void oneWorkerWithRunsOfTwoOwners() {
    fixture = HostFixture.startedBefore(1_000);
    fixture.host.workerHeartbeat(HostFixture.worker(WORKER, new Room(4_000, 100, 0), 1), 1_000);
    fixture.collectEffects(1_000);
    fixture.answerPoll(WORKER, 1_000, List.of());
    fixture.host.sessionOpened(LOST, "lost", 1_000);
    fixture.host.sessionOpened(OTHER, "other", 1_000);
    heartbeat(LOST, 1_000);
    heartbeat(OTHER, 1_000);
    fixture.start(LOST, WORKER, 1_000, OF_LOST);
    fixture.start(OTHER, WORKER, 1_000, OF_OTHER);
    fixture.collectEffects(1_000);
  }

  private void heartbeat(long session, long nowMs) {
    fixture.host.ownerHeartbeat(session, nowMs, true, nowMs);
    fixture.collectEffects(nowMs);
  }

  private void loseOwner(long nowMs) {
    heartbeat(OTHER, nowMs);
    fixture.host.sessionEnded(LOST, "its process is gone", nowMs);
    fixture.collectEffects(nowMs);
    assertEquals(fixture.all(HostEffect.StopCall.class).getFirst().run(), OF_LOST);
  }

  private void leaveStopUnanswered(long nowMs) {
    fixture.host.stopCallCompleted(WORKER, OF_LOST, false, nowMs);
    fixture.collectEffects(nowMs);
  }

  private void answerPoll(long nowMs) {
    fixture.answerPoll(WORKER, nowMs, List.of(OF_LOST, OF_OTHER));
  }

  private long newestDeadlineMs() {
    return fixture.all(HostEffect.PollCall.class).getLast().deadlineMs();
  }

  /** Returns when everything is over by a deadline that is sent right after a list. */
  private static long overAtMs(long deadlineMs, long listedAtMs) {
    long leaseMs = deadlineMs - PollResults.listed(listedAtMs, List.of()).workerClockMs();
    return listedAtMs + (long) Math.ceil(leaseMs * 1.02) + HostFixture.TIMING.killGraceMs();
  }

  @Test
  public void theLeaseOfAWorkerIsNotRenewedWhileAStopHasNoAnswer() {
    loseOwner(1_400);
    leaveStopUnanswered(1_430);
    answerPoll(1_460);
    answerPoll(1_510);
    assertEquals(newestDeadlineMs(), 0);
  }

  @Test
  public void aStartKeepsNoRunGoingThatIsToBeOver() {
    loseOwner(1_400);
    leaveStopUnanswered(1_430);
    answerPoll(1_460);
    fixture.order(OTHER, WORKER, 1_460, LATER);
    long deadlineMs = fixture.all(HostEffect.StartCall.class).getFirst().deadlineMs();
    long mustEndByMs = 1_400 + HostFixture.TIMING.workerRunsOverAfterMs();
    assertTrue(overAtMs(deadlineMs, 1_460) <= mustEndByMs, "deadline " + deadlineMs);
  }

  @Test
  public void nothingStartsOnALeaseThatIsAboutToEnd() {
    loseOwner(1_400);
    leaveStopUnanswered(1_430);
    answerPoll(1_460);
    heartbeat(OTHER, 2_000);
    answerPoll(2_100);
    fixture.order(OTHER, WORKER, 2_100, LATER);
    assertEquals(fixture.all(HostEffect.StartCall.class), List.of());
    assertEquals(fixture.sent(OTHER, RunNotStarted.class).getFirst().run(), LATER);
  }

  @Test
  public void theLeaseIsRenewedAgainOnceTheStoppedRunIsOver() {
    loseOwner(1_400);
    leaveStopUnanswered(1_430);
    answerPoll(1_460);
    fixture.host.stopCallCompleted(WORKER, OF_LOST, true, 1_470);
    fixture.answerPoll(
        WORKER, 1_540, List.of(OF_OTHER), new PollResult.Ended(1, OF_LOST, RunEnd.STOPPED));
    assertTrue(newestDeadlineMs() > 0);
  }

  @Test
  public void theLeaseIsNotRenewedForAnOwnerWhoseLeaseIsOver() {
    heartbeat(OTHER, 1_600);
    long ownerLeaseOverMs = 1_000 + HostFixture.TIMING.ownerLeaseMs();
    answerPoll(ownerLeaseOverMs - 10);
    heartbeat(OTHER, ownerLeaseOverMs + 100);
    answerPoll(ownerLeaseOverMs + 150);
    assertEquals(newestDeadlineMs(), 0);
  }

  @Test
  public void runsOfAKilledOwnerAreOverBeforeItsCallersReturn() {
    long callersReturnMs = 1_000 + 2 * HostFixture.TIMING.ownerLeaseMs();
    for (long atMs = 1_050; atMs <= 1_640; atMs += 50) {
      heartbeat(OTHER, atMs);
      answerPoll(atMs);
      long deadlineMs = newestDeadlineMs();
      assertTrue(deadlineMs == 0 || overAtMs(deadlineMs, atMs) < callersReturnMs, "at " + atMs);
    }
  }

  @Test
  public void aStrangersRunIsNotKeptGoingWhileItsStopHasNoAnswer() {
    fixture.answerPoll(WORKER, 1_050, List.of(LATER, OF_LOST, OF_OTHER));
    assertEquals(fixture.all(HostEffect.StopCall.class).getFirst().run(), LATER);
    assertEquals(newestDeadlineMs(), 0);
  }

  @Test
  public void aRepeatedStartMovesTheTimeAtWhichItsOrdersAreVoid() {
    fixture.order(OTHER, WORKER, 1_010, LATER);
    heartbeat(OTHER, 1_300);
    fixture.host.startCallCompleted(WORKER, LATER, new StartResult.Unanswered(), 1_300);
    heartbeat(OTHER, 1_310);
    fixture.host.stopRun(OTHER, LATER, 1_310);
    long firstIsVoidMs = 1_010 + HostFixture.TIMING.workerRunsOverAfterMs();
    heartbeat(OTHER, firstIsVoidMs);
    fixture.answerPoll(WORKER, firstIsVoidMs, List.of());
    fixture.host.onTick(firstIsVoidMs + 50);
    fixture.collectEffects(firstIsVoidMs + 50);
    fixture.answerPoll(WORKER, firstIsVoidMs + 60, List.of());
    assertTrue(fixture.sent(OTHER, RunEnded.class).stream().noneMatch(e -> e.run().equals(LATER)));
  }

  @Test
  public void aRunThatWasNeverThereIsOverOnceItsDeadlineHasPassed() {
    heartbeat(LOST, 1_300);
    heartbeat(OTHER, 1_300);
    fixture.order(LOST, WORKER, 1_300, LATER);
    fixture.host.startCallCompleted(WORKER, LATER, new StartResult.Unanswered(), 1_330);
    loseOwner(1_340);
    long leaseOverMs = 1_330 + HostFixture.TIMING.workerRunsOverAfterMs();
    heartbeat(OTHER, leaseOverMs);
    assertEquals(fixture.host.runCount(), 3);
    fixture.answerPoll(
        WORKER,
        leaseOverMs,
        List.of(),
        new PollResult.Ended(1, OF_LOST, RunEnd.LAPSED),
        new PollResult.Ended(2, OF_OTHER, RunEnd.LAPSED));
    assertEquals(fixture.sent(OTHER, RunEnded.class).getFirst().end(), RunEnd.LAPSED);
    assertEquals(fixture.host.runCount(), 1);
    fixture.host.onTick(leaseOverMs + 50);
    fixture.collectEffects(leaseOverMs + 50);
    fixture.answerPoll(WORKER, leaseOverMs + 60, List.of());
    assertEquals(fixture.host.runCount(), 0);
  }
}
