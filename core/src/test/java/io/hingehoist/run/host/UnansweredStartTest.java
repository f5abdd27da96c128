package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A task ran twice at once: its first start call had no answer and was carried out later. */
public final class UnansweredStartTest {
  private static final long SESSION = HostFixture.SESSION;
  private static final String WORKER = "w1";
  private static final RunRef RUN = new RunRef("j.0.0", 1);

  private HostFixture fixture;

  @BeforeMethod
  public void oneWorkerAndOneOwner() {
    fixture = HostFixture.startedBefore(1_000);
    fixture.host.workerHeartbeat(HostFixture.worker(WORKER, new Room(2_000, 100, 0), 1), 1_000);
    fixture.collectEffects(1_000);
    fixture.answerPoll(WORKER, 1_000, List.of());
    fixture.host.sessionOpened(SESSION, "o", 1_000);
    fixture.host.ownerHeartbeat(SESSION, 1_000, true, 1_000);
    fixture.order(SESSION, WORKER, 1_000, RUN);
    startCallCompleted(new StartResult.Unanswered(), 1_025);
  }

  private void startCallCompleted(StartResult answer, long nowMs) {
    fixture.host.startCallCompleted(WORKER, RUN, answer, nowMs);
    fixture.collectEffects(nowMs);
  }

  private void assertNothingIsReported() {
    assertEquals(fixture.sent(RunNotStarted.class), List.of());
    assertEquals(fixture.sent(RunEnded.class), List.of());
    assertEquals(fixture.host.runCount(), 1);
  }

  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {
      {RunRefusal.ROOM}, {RunRefusal.UNHEALTHY}, {RunRefusal.OLD_NUMBER}, {RunRefusal.INVALID}
    };
  }

  @Test(dataProvider = "refusals")
  public void aRefusedSecondCallDoesNotReportTheRunAsNotStarted(RunRefusal reason) {
    startCallCompleted(new StartResult.Refused(reason), 1_030);
    assertNothingIsReported();
  }

  @Test
  public void aRunWhoseSecondCallIsRefusedIsBarredBeforeItIsOver() {
    startCallCompleted(new StartResult.Refused(RunRefusal.UNHEALTHY), 1_030);
    assertEquals(fixture.all(HostEffect.StopCall.class).getFirst().run(), RUN);
    fixture.host.stopCallCompleted(WORKER, RUN, true, 1_032);
    fixture.answerPoll(WORKER, 1_040, List.of());
    assertNothingIsReported();
    fixture.host.onTick(1_090);
    fixture.answerPoll(WORKER, 1_095, List.of());
    fixture.answerPoll(WORKER, 1_150, List.of());
    assertEquals(fixture.host.runCount(), 0);
  }

  @Test
  public void aRunThatEndedBeforeItsSecondCallIsReportedAsItEnded() {
    startCallCompleted(new StartResult.Refused(RunRefusal.OLD_NUMBER), 1_030);
    assertNothingIsReported();
    fixture.answerPoll(WORKER, 1_040, List.of(), new PollResult.Ended(1, RUN, RunEnd.DONE));
    assertEquals(fixture.sent(RunEnded.class).getFirst().end(), RunEnd.DONE);
  }

  @Test
  public void aLateSecondCallForAnOwnerWithoutALeaseDoesNotEndTheRun() {
    long leaseOverMs = 1_001 + HostFixture.TIMING.ownerLeaseMs();
    startCallCompleted(new StartResult.Late(501_000), leaseOverMs);
    assertNothingIsReported();
    assertEquals(fixture.all(HostEffect.StopCall.class).getFirst().run(), RUN);
  }

  @Test
  public void aFencedSecondCallForAnOwnerWithoutALeaseDoesNotEndTheRun() {
    long leaseOverMs = 1_001 + HostFixture.TIMING.ownerLeaseMs();
    startCallCompleted(new StartResult.Fenced(501_000), leaseOverMs);
    assertNothingIsReported();
    assertEquals(fixture.all(HostEffect.StopCall.class).getFirst().run(), RUN);
  }
}
