package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.WorkerCrashed;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tasks ran twice at once: their worker refused a connection and went on with its runs. */
public final class RefusedConnectionTest {
  private static final long SESSION = HostFixture.SESSION;
  private static final String WORKER = "w1";
  private static final RunRef GOING_ON = new RunRef("j.0.0", 1);
  private static final RunRef ORDERED = new RunRef("j.0.1", 1);
  private static final long LEASE_OVER_MS = 1_000 + HostFixture.TIMING.workerRunsOverAfterMs();

  private HostFixture fixture;

  @BeforeMethod
  public void oneWorkerWithARun() {
    fixture = HostFixture.startedBefore(1_000);
    fixture.host.workerSeen(HostFixture.worker(WORKER, new Room(4_000, 100, 0), 1), 1_000);
    fixture.settle(1_000);
    fixture.list(WORKER, 1_000, List.of());
    fixture.host.sessionBegan(SESSION, "o", 1_000);
    beat(1_000);
    fixture.start(SESSION, WORKER, 1_000, GOING_ON);
    fixture.settle(1_000);
  }

  private void beat(long nowMs) {
    fixture.host.ownerBeat(SESSION, nowMs, true, nowMs);
    fixture.settle(nowMs);
  }

  private void refuseHold(long nowMs) {
    fixture.host.holdAnswered(WORKER, new HoldAnswer.NobodyThere(), nowMs);
    fixture.settle(nowMs);
  }

  private void tick(long nowMs) {
    fixture.host.onTick(nowMs);
    fixture.settle(nowMs);
  }

  @Test
  public void aRefusedListDoesNotEndTheRunsOfAWorker() {
    refuseHold(1_020);
    assertEquals(fixture.told(RunEnded.class), List.of());
    assertEquals(fixture.host.runCount(), 1);
  }

  @Test
  public void aRefusedStartDoesNotEndTheOtherRunsOfAWorker() {
    fixture.order(SESSION, WORKER, 1_010, ORDERED);
    fixture.host.startAnswered(WORKER, ORDERED, new StartAnswer.NobodyThere(), 1_012);
    fixture.settle(1_012);
    assertEquals(fixture.told(RunEnded.class), List.of());
    assertEquals(fixture.host.runCount(), 1);
    assertEquals(fixture.told(RunNotStarted.class).getFirst().run(), ORDERED);
  }

  @Test
  public void aRefusedStartThatFollowsAnUnansweredOneIsNotReportedAsNotStarted() {
    fixture.order(SESSION, WORKER, 1_010, ORDERED);
    fixture.host.startAnswered(WORKER, ORDERED, new StartAnswer.Unanswered(), 1_030);
    fixture.host.startAnswered(WORKER, ORDERED, new StartAnswer.NobodyThere(), 1_032);
    fixture.settle(1_032);
    assertEquals(fixture.told(RunNotStarted.class), List.of());
    assertEquals(fixture.host.runCount(), 2);
  }

  @Test
  public void theRunsOfAWorkerThatRefusesConnectionsAreLostOnceItsLeaseIsOver() {
    refuseHold(1_020);
    beat(1_500);
    tick(LEASE_OVER_MS - 1);
    assertEquals(fixture.told(RunEnded.class), List.of());
    refuseHold(LEASE_OVER_MS - 1);
    tick(LEASE_OVER_MS);
    assertEquals(fixture.told(RunEnded.class).getFirst().end(), RunEnd.LOST);
    WorkerCrashed crash = fixture.told(WorkerCrashed.class).getFirst();
    assertEquals(crash.tasks(), List.of(GOING_ON.task()));
    assertEquals(crash.agoMs(), LEASE_OVER_MS - 1_020);
    assertEquals(fixture.host.workerCount(), 0);
  }

  @Test
  public void theLeaseOfAWorkerThatRefusesConnectionsIsNotRenewed() {
    refuseHold(1_020);
    tick(1_100);
    assertEquals(fixture.all(HostEffect.CallHold.class).getFirst().deadlineMs(), 0);
  }

  @Test
  public void aRefusedStartLeavesTheLeaseOfItsWorkerToEnd() {
    fixture.order(SESSION, WORKER, 1_010, ORDERED);
    fixture.host.startAnswered(WORKER, ORDERED, new StartAnswer.NobodyThere(), 1_012);
    fixture.order(SESSION, WORKER, 1_013, new RunRef("j.0.2", 1));
    assertEquals(fixture.all(HostEffect.CallStart.class), List.of());
    fixture.host.holdAnswered(WORKER, new HoldAnswer.Unanswered(), 1_020);
    fixture.settle(1_020);
    tick(1_100);
    assertEquals(fixture.all(HostEffect.CallHold.class).getFirst().deadlineMs(), 0);
  }

  @Test
  public void aWorkerThatAnsweredAgainAndFallsSilentDidNotCrash() {
    refuseHold(1_020);
    tick(1_100);
    fixture.list(WORKER, 1_110, List.of(GOING_ON));
    for (long nowMs = 1_200; nowMs <= 1_400; nowMs += 50) {
      fixture.host.holdAnswered(WORKER, new HoldAnswer.Unanswered(), nowMs);
      tick(nowMs);
    }
    beat(1_900);
    tick(1_110 + HostFixture.TIMING.workerRunsOverAfterMs());
    assertEquals(fixture.told(RunEnded.class).getFirst().end(), RunEnd.LOST);
    assertEquals(fixture.told(WorkerCrashed.class), List.of());
    assertEquals(fixture.host.workerCount(), 1);
  }

  @Test
  public void aWorkerThatAnswersAgainKeepsItsRuns() {
    refuseHold(1_020);
    tick(1_100);
    fixture.list(WORKER, 1_110, List.of(GOING_ON));
    tick(LEASE_OVER_MS);
    assertEquals(fixture.told(RunEnded.class), List.of());
    assertEquals(fixture.host.runCount(), 1);
  }

  @Test
  public void aWorkerThatRefusesConnectionsGetsNothingNew() {
    refuseHold(1_020);
    fixture.order(SESSION, WORKER, 1_030, ORDERED);
    assertEquals(fixture.all(HostEffect.CallStart.class), List.of());
    assertEquals(fixture.told(RunNotStarted.class).getFirst().run(), ORDERED);
  }

  @Test
  public void anotherLifeAtTheAddressEndsTheRunsAtOnce() {
    refuseHold(1_020);
    tick(1_100);
    fixture.host.holdAnswered(WORKER, new HoldAnswer.Gone(), 1_110);
    fixture.settle(1_110);
    assertEquals(fixture.told(RunEnded.class).getFirst().end(), RunEnd.LOST);
  }
}
