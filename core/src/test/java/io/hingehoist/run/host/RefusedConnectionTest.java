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

/**
 * Guards against tasks that run twice at the same time because their worker refused a connection
 * but continued its runs.
 */
public final class RefusedConnectionTest {
  private static final long SESSION = HostFixture.SESSION;
  private static final String WORKER = "w1";
  private static final RunRef RUNNING = new RunRef("j.0.0", 1);
  private static final RunRef ORDERED = new RunRef("j.0.1", 1);
  private static final long LEASE_OVER_AT_MS = 1_000 + HostFixture.TIMING.workerRunsOverAfterMs();

  private HostFixture fixture;

  @BeforeMethod
  public void createWorkerWithARun() {
    fixture = HostFixture.startedLongBefore(1_000);
    fixture.host.workerHeartbeat(HostFixture.worker(WORKER, new Room(4_000, 100, 0), 1), 1_000);
    fixture.collectEffects(1_000);
    fixture.answerPoll(WORKER, 1_000, List.of());
    fixture.host.sessionOpened(SESSION, "o", 1_000);
    heartbeat(1_000);
    fixture.start(SESSION, WORKER, 1_000, RUNNING);
    fixture.collectEffects(1_000);
  }

  private void heartbeat(long nowMs) {
    fixture.host.ownerHeartbeat(SESSION, nowMs, true, nowMs);
    fixture.collectEffects(nowMs);
  }

  private void refusePoll(long nowMs) {
    fixture.host.pollCallCompleted(WORKER, new PollResult.ConnectionRefused(), nowMs);
    fixture.collectEffects(nowMs);
  }

  private void tick(long nowMs) {
    fixture.host.onTick(nowMs);
    fixture.collectEffects(nowMs);
  }

  @Test
  public void aRefusedPollDoesNotEndTheRunsOfAWorker() {
    refusePoll(1_020);
    assertEquals(fixture.sent(RunEnded.class), List.of());
    assertEquals(fixture.host.runCount(), 1);
  }

  @Test
  public void aRefusedStartDoesNotEndTheOtherRunsOfAWorker() {
    fixture.order(SESSION, WORKER, 1_010, ORDERED);
    fixture.host.startCallCompleted(WORKER, ORDERED, new StartResult.ConnectionRefused(), 1_012);
    fixture.collectEffects(1_012);
    assertEquals(fixture.sent(RunEnded.class), List.of());
    assertEquals(fixture.host.runCount(), 1);
    assertEquals(fixture.sent(RunNotStarted.class).getFirst().run(), ORDERED);
  }

  @Test
  public void aRefusedStartThatFollowsAnUnansweredOneIsNotReportedAsNotStarted() {
    fixture.order(SESSION, WORKER, 1_010, ORDERED);
    fixture.host.startCallCompleted(WORKER, ORDERED, new StartResult.Unanswered(), 1_030);
    fixture.host.startCallCompleted(WORKER, ORDERED, new StartResult.ConnectionRefused(), 1_032);
    fixture.collectEffects(1_032);
    assertEquals(fixture.sent(RunNotStarted.class), List.of());
    assertEquals(fixture.host.runCount(), 2);
  }

  @Test
  public void theRunsOfAWorkerThatRefusesConnectionsAreLostOnceItsLeaseHasExpired() {
    refusePoll(1_020);
    heartbeat(1_500);
    tick(LEASE_OVER_AT_MS - 1);
    assertEquals(fixture.sent(RunEnded.class), List.of());
    refusePoll(LEASE_OVER_AT_MS - 1);
    tick(LEASE_OVER_AT_MS);
    assertEquals(fixture.sent(RunEnded.class).getFirst().end(), RunEnd.LOST);
    WorkerCrashed crash = fixture.sent(WorkerCrashed.class).getFirst();
    assertEquals(crash.tasks(), List.of(RUNNING.task()));
    assertEquals(crash.agoMs(), LEASE_OVER_AT_MS - 1_020);
    assertEquals(fixture.host.workerCount(), 0);
  }

  @Test
  public void theLeaseOfAWorkerThatRefusesConnectionsIsNotRenewed() {
    refusePoll(1_020);
    tick(1_100);
    assertEquals(fixture.all(HostEffect.PollCall.class).getFirst().deadlineMs(), 0);
  }

  @Test
  public void aRefusedStartLetsTheLeaseOfItsWorkerExpire() {
    fixture.order(SESSION, WORKER, 1_010, ORDERED);
    fixture.host.startCallCompleted(WORKER, ORDERED, new StartResult.ConnectionRefused(), 1_012);
    fixture.order(SESSION, WORKER, 1_013, new RunRef("j.0.2", 1));
    assertEquals(fixture.all(HostEffect.StartCall.class), List.of());
    fixture.host.pollCallCompleted(WORKER, new PollResult.Unanswered(), 1_020);
    fixture.collectEffects(1_020);
    tick(1_100);
    assertEquals(fixture.all(HostEffect.PollCall.class).getFirst().deadlineMs(), 0);
  }

  @Test
  public void aWorkerThatRespondedAgainAndThenFallsSilentIsNotReportedAsCrashed() {
    refusePoll(1_020);
    tick(1_100);
    fixture.answerPoll(WORKER, 1_110, List.of(RUNNING));
    for (long nowMs = 1_200; nowMs <= 1_400; nowMs += 50) {
      fixture.host.pollCallCompleted(WORKER, new PollResult.Unanswered(), nowMs);
      tick(nowMs);
    }
    heartbeat(1_900);
    tick(1_110 + HostFixture.TIMING.workerRunsOverAfterMs());
    assertEquals(fixture.sent(RunEnded.class).getFirst().end(), RunEnd.LOST);
    assertEquals(fixture.sent(WorkerCrashed.class), List.of());
    assertEquals(fixture.host.workerCount(), 1);
  }

  @Test
  public void aWorkerThatRespondsAgainKeepsItsRuns() {
    refusePoll(1_020);
    tick(1_100);
    fixture.answerPoll(WORKER, 1_110, List.of(RUNNING));
    tick(LEASE_OVER_AT_MS);
    assertEquals(fixture.sent(RunEnded.class), List.of());
    assertEquals(fixture.host.runCount(), 1);
  }

  @Test
  public void aWorkerThatRefusesConnectionsGetsNoNewRuns() {
    refusePoll(1_020);
    fixture.order(SESSION, WORKER, 1_030, ORDERED);
    assertEquals(fixture.all(HostEffect.StartCall.class), List.of());
    assertEquals(fixture.sent(RunNotStarted.class).getFirst().run(), ORDERED);
  }

  @Test
  public void anotherInstanceAtTheAddressEndsTheRunsAtOnce() {
    refusePoll(1_020);
    tick(1_100);
    fixture.host.pollCallCompleted(WORKER, new PollResult.OtherInstance(), 1_110);
    fixture.collectEffects(1_110);
    assertEquals(fixture.sent(RunEnded.class).getFirst().end(), RunEnd.LOST);
  }
}
