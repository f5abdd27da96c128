package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.SessionProbe;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.WorkerState;
import io.hingehoist.run.Rooms;
import io.hingehoist.run.RunTiming;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public final class WorkerHostTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final long RUNS_OVER_AFTER_MS = TIMING.workerRunsOverAfterMs();
  private static final Room CAPACITY = new Room(2_000, 1_000, 0);
  private static final Room NEED = new Room(1_000, 10, 0);
  private static final long SESSION = 7;

  private final List<HostEffect> effects = new ArrayList<>();
  private long order;

  private static WorkerInfo worker(String id, boolean draining, long version) {
    return new WorkerInfo(
        id, "s", "10.0.0.1:1", "z", draining, CAPACITY, List.of(), version, 500_000);
  }

  private WorkerHost hostWithOwner(long nowMs) {
    WorkerHost host =
        ZoneFixtures.noneEvacuated(
            WorkerHost.create("h", 1, "z", TIMING, 100, nowMs - RUNS_OVER_AFTER_MS));
    host.workerHeartbeat(worker("w1", false, 1), nowMs);
    host.sessionOpened(SESSION, "o", nowMs);
    answerPoll(host, nowMs, List.of());
    return host;
  }

  private void collectEffects(WorkerHost host, long nowMs) {
    host.publishWorkers(nowMs);
    effects.clear();
    effects.addAll(host.drainEffects());
  }

  private void order(WorkerHost host, long nowMs, RunRef... runs) {
    host.startRuns(
        SESSION, new StartRuns(++order, "w1", "j", "spec", 100, NEED, List.of(runs)), nowMs);
    collectEffects(host, nowMs);
  }

  private <E extends HostEffect> List<E> all(Class<E> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private <M extends Message> List<M> sent(Class<M> type) {
    return all(HostEffect.SendToOwner.class).stream()
        .map(HostEffect.SendToOwner::message)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private static RunRef run(int index, long number) {
    return new RunRef("j.0." + index, number);
  }

  private void answerPoll(
      WorkerHost host, long nowMs, List<RunRef> running, PollResult.Ended... ended) {
    host.pollCallCompleted("w1", PollResults.listed(nowMs, running, ended), nowMs);
    collectEffects(host, nowMs);
  }

  @Test
  public void startsNoMoreRunsThanTheWorkerHasRoomFor() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1), run(1, 1), run(2, 1));
    assertEquals(all(HostEffect.StartCall.class).size(), 2);
    assertEquals(sent(RunNotStarted.class), List.of(new RunNotStarted(run(2, 1), RunRefusal.ROOM)));
  }

  @Test
  public void aStoppedRunKeepsItsRoomUntilItsEndIsListed() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1), run(1, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_002);
    host.stopRun(SESSION, run(0, 1), 1_010);
    host.stopCallCompleted("w1", run(0, 1), true, 1_012);
    order(host, 1_013, run(3, 1));
    assertEquals(sent(RunNotStarted.class).size(), 1);
    answerPoll(host, 1_060, List.of(), new PollResult.Ended(1, run(0, 1), RunEnd.STOPPED));
    order(host, 1_061, run(3, 2));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void anUnansweredStartIsRepeatedWithTheSameRunNumber() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Unanswered(), 1_025);
    collectEffects(host, 1_025);
    assertEquals(all(HostEffect.StopCall.class), List.of());
    assertEquals(all(HostEffect.StartCall.class).getFirst().run(), run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_027);
    answerPoll(host, 1_100, List.of(), new PollResult.Ended(1, run(0, 1), RunEnd.DONE));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.DONE);
  }

  /**
   * Idle connections to a worker break together: a repeated call on a second one delayed the start
   * by another 20 to 40 ms.
   */
  @Test
  public void anUnansweredStartIsRepeatedOnANewConnection() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    assertFalse(all(HostEffect.StartCall.class).getFirst().options().freshConnection());
    host.startCallCompleted("w1", run(0, 1), new StartResult.Unanswered(), 1_025);
    collectEffects(host, 1_025);
    assertTrue(all(HostEffect.StartCall.class).getLast().options().freshConnection());
    host.startCallCompleted("w1", run(0, 1), new StartResult.Unanswered(), 1_050);
    collectEffects(host, 1_050);
    assertTrue(all(HostEffect.StartCall.class).getLast().options().freshConnection());
  }

  @Test
  public void aWorkerIsPolledMoreOftenWhileCallsAreLost() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_001);
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_120);
    answerPoll(host, 1_121, List.of(run(0, 1)));
    assertEquals(all(HostEffect.PollCall.class).getFirst().waitMs(), 50);
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_220);
    answerPoll(host, 1_221, List.of(run(0, 1)));
    assertEquals(all(HostEffect.PollCall.class).getFirst().waitMs(), 20);
  }

  @Test
  public void aStopThatFailsAtOnceIsRepeatedAtTheNextTick() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_002);
    host.stopRun(SESSION, run(0, 1), 1_010);
    collectEffects(host, 1_010);
    host.stopCallCompleted("w1", run(0, 1), false, 1_011);
    collectEffects(host, 1_011);
    assertEquals(all(HostEffect.StopCall.class), List.of());
    host.onTick(1_050);
    collectEffects(host, 1_050);
    assertEquals(all(HostEffect.StopCall.class).size(), 1);
  }

  @Test
  public void anUnansweredStartIsInvalidatedByAStopBeforeItsRoomIsFree() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Unanswered(), 1_050);
    host.startCallCompleted("w1", run(0, 1), new StartResult.Unanswered(), 1_100);
    host.startCallCompleted("w1", run(0, 1), new StartResult.Unanswered(), 1_150);
    collectEffects(host, 1_150);
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0, 1));
    assertEquals(host.runCount(), 1);
    host.stopCallCompleted("w1", run(0, 1), true, 1_152);
    // This list was requested before the stop was confirmed, so it proves nothing.
    answerPoll(host, 1_160, List.of());
    assertEquals(host.runCount(), 1);
    host.onTick(1_210);
    answerPoll(host, 1_220, List.of());
    answerPoll(host, 1_430, List.of());
    assertEquals(host.runCount(), 0);
  }

  @Test
  public void anUnansweredStopIsRepeated() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_002);
    host.stopRun(SESSION, run(0, 1), 1_010);
    collectEffects(host, 1_010);
    host.stopCallCompleted("w1", run(0, 1), false, 1_110);
    host.onTick(1_115);
    collectEffects(host, 1_115);
    assertEquals(all(HostEffect.StopCall.class).size(), 1);
  }

  @Test
  public void aStopOfAnUnknownRunIsAnsweredWithItsEnd() {
    WorkerHost host = hostWithOwner(1_000);
    host.stopRun(SESSION, run(0, 1), 1_010);
    collectEffects(host, 1_010);
    assertEquals(sent(RunEnded.class), List.of(new RunEnded(run(0, 1), RunEnd.LOST, 0)));
  }

  @Test
  public void stopsTheRunsOfASilentOwner() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 5_000, true, 1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_002);
    host.onTick(1_000 + TIMING.ownerLeaseMs() - 1);
    collectEffects(host, 1_649);
    assertEquals(all(HostEffect.StopCall.class).size(), 0);
    host.onTick(1_000 + TIMING.ownerLeaseMs());
    collectEffects(host, 1_650);
    assertEquals(all(HostEffect.StopCall.class).size(), 1);
    assertEquals(all(HostEffect.CloseSession.class).size(), 1);
  }

  @Test
  public void aDelayedHeartbeatDoesNotExtendTheLease() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 5_000, true, 1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_002);
    // Sent 100 ms after the first heartbeat, it arrives 600 ms after it.
    host.ownerHeartbeat(SESSION, 5_100, true, 1_600);
    host.onTick(1_100 + TIMING.ownerLeaseMs());
    collectEffects(host, 1_750);
    assertEquals(all(HostEffect.CloseSession.class).size(), 1);
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0, 1));
  }

  @Test
  public void aDelayedHeartbeatAllowsNoStart() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 5_000, true, 1_000);
    host.ownerHeartbeat(SESSION, 5_100, true, 1_600);
    collectEffects(host, 1_600);
    assertEquals(sent(SessionProbe.class).size(), 1);
    order(host, 1_100 + TIMING.ownerLeaseMs(), run(0, 1));
    assertEquals(all(HostEffect.StartCall.class), List.of());
  }

  @Test
  public void startsNothingForAnOwnerWhoseLeaseHasExpired() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000 + TIMING.ownerLeaseMs(), run(0, 1));
    assertEquals(all(HostEffect.StartCall.class), List.of());
    // The owner is informed: a heartbeat may renew the lease before the session is closed.
    assertEquals(sent(RunNotStarted.class).getFirst().reason(), RunRefusal.NOT_READY);
  }

  @Test
  public void notifiesTheOwnerOnceTheRunsOfAFormerSessionAreOver() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_002);
    host.sessionOpened(SESSION + 1, "o", 1_010);
    collectEffects(host, 1_010);
    assertFalse(sent(SessionOpened.class).getFirst().formerRunsOver());
    answerPoll(host, 1_060, List.of(), new PollResult.Ended(1, run(0, 1), RunEnd.STOPPED));
    host.onTick(1_075);
    collectEffects(host, 1_075);
    assertTrue(sent(SessionOpened.class).getFirst().formerRunsOver());
  }

  @Test
  public void aRestartedHostReportsFormerRunsAsOverOnlyAfterTheFormerLease() {
    WorkerHost host =
        ZoneFixtures.noneEvacuated(WorkerHost.create("h", 2, "z", TIMING, 100, 1_000));
    host.sessionOpened(SESSION, "o", 1_010);
    collectEffects(host, 1_010);
    assertFalse(sent(SessionOpened.class).getFirst().formerRunsOver());
    host.ownerHeartbeat(SESSION, 10, true, 1_010);
    host.ownerHeartbeat(SESSION, 500, true, 1_500);
    host.onTick(1_000 + RUNS_OVER_AFTER_MS - 1);
    collectEffects(host, 1_000 + RUNS_OVER_AFTER_MS - 1);
    assertEquals(sent(SessionOpened.class), List.of());
    host.onTick(1_000 + RUNS_OVER_AFTER_MS);
    collectEffects(host, 1_000 + RUNS_OVER_AFTER_MS);
    assertTrue(sent(SessionOpened.class).getFirst().formerRunsOver());
  }

  @Test
  public void assignsNoRoomWhileRunsOfTheFormerIncarnationExist() {
    WorkerHost host =
        ZoneFixtures.noneEvacuated(WorkerHost.create("h", 2, "z", TIMING, 100, 1_000));
    host.sessionOpened(SESSION, "o", 1_010);
    host.workerHeartbeat(worker("w1", false, 1), 1_020);
    order(host, 1_030, run(0, 1));
    assertEquals(sent(RunNotStarted.class).getFirst().reason(), RunRefusal.NOT_READY);
    answerPoll(host, 1_040, List.of(run(9, 4)));
    order(host, 1_050, run(0, 2));
    assertEquals(sent(RunNotStarted.class).getFirst().reason(), RunRefusal.NOT_READY);
    answerPoll(host, 1_100, List.of());
    order(host, 1_110, run(0, 3));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void twoLostCallsDoNotMakeAWorkerSilent() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_100);
    collectEffects(host, 1_100);
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_200);
    collectEffects(host, 1_200);
    assertEquals(all(HostEffect.PollCall.class).size(), 1);
    order(host, 1_210, run(1, 1));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_400);
    collectEffects(host, 1_400);
    assertEquals(sent(HostRows.class).getFirst().workers().getFirst().state(), WorkerState.SILENT);
  }

  @Test
  public void runsOfASilentWorkerAreLostOnceItsLeaseHasExpired() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_002);
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_400);
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_500);
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_600);
    host.ownerHeartbeat(SESSION, 8_600, true, 1_000);
    host.ownerHeartbeat(SESSION, 9_000, true, 1_400);
    collectEffects(host, 1_600);
    // A poll after a lost one does not renew the lease, so the start call was the last renewal.
    host.onTick(1_000 + RUNS_OVER_AFTER_MS - 1);
    collectEffects(host, 1_000 + RUNS_OVER_AFTER_MS - 1);
    assertEquals(sent(RunEnded.class), List.of());
    host.onTick(1_000 + RUNS_OVER_AFTER_MS);
    collectEffects(host, 1_000 + RUNS_OVER_AFTER_MS);
    assertEquals(sent(RunEnded.class), List.of(new RunEnded(run(0, 1), RunEnd.LOST, 0)));
  }

  @Test
  public void aSilentWorkersLeaseIsNotRenewed() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_200);
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_300);
    host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_400);
    collectEffects(host, 1_400);
    host.onTick(1_500);
    collectEffects(host, 1_500);
    assertEquals(all(HostEffect.PollCall.class).getFirst().deadlineMs(), 0);
  }

  @Test
  public void anotherInstanceAtTheSameAddressEndsTheRunsOfTheFormer() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.workerHeartbeat(worker("w2", false, 1), 1_100);
    host.pollCallCompleted("w2", PollResults.listed(1_101, List.of()), 1_101);
    collectEffects(host, 1_101);
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.LOST);
    assertEquals(host.workerCount(), 1);
  }

  /**
   * Guards against a heartbeat that is delayed by a network partition and arrives after its sender
   * has crashed and another instance has registered at the address. If it counted as a new
   * instance, the runs of the healthy one would be reported as lost and started elsewhere while
   * they continue.
   */
  @Test
  public void aDelayedHeartbeatOfACrashedInstanceEndsNoRuns() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.workerHeartbeat(worker("w0", false, 7), 1_100);
    collectEffects(host, 1_100);
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(all(HostEffect.PollCall.class).getFirst().workerId(), "w0");
    host.pollCallCompleted("w0", new PollResult.OtherInstance(), 1_101);
    collectEffects(host, 1_101);
    assertEquals(sent(RunEnded.class), List.of());
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_102);
    answerPoll(host, 1_110, List.of(), new PollResult.Ended(1, run(0, 1), RunEnd.DONE));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.DONE);
  }

  @Test
  public void aDrainingWorkerGetsNoNewRuns() {
    WorkerHost host = hostWithOwner(1_000);
    host.workerHeartbeat(worker("w1", true, 2), 1_010);
    collectEffects(host, 1_010);
    assertEquals(
        sent(HostRows.class).getFirst().workers().getFirst().state(), WorkerState.DRAINING);
    // An older heartbeat that arrives after the newer one changes nothing.
    host.workerHeartbeat(worker("w1", false, 1), 1_020);
    order(host, 1_030, run(0, 1));
    assertEquals(sent(RunNotStarted.class).getFirst().reason(), RunRefusal.NOT_READY);
  }

  /** Guards against a fenced poll being taken for an answer of the instance that it was for. */
  @Test
  public void aFencedPollDoesNotProveAnInstance() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_002);
    host.workerHeartbeat(worker("w0", false, 7), 1_010);
    collectEffects(host, 1_010);
    HostEffect.PollCall first = all(HostEffect.PollCall.class).getLast();
    assertEquals(first.workerId(), "w0");
    host.pollCallCompleted("w0", new PollResult.Fenced(501_011), 1_011);
    collectEffects(host, 1_011);
    assertEquals(sent(RunEnded.class), List.of());
    HostEffect.PollCall second = all(HostEffect.PollCall.class).getLast();
    assertEquals(second.workerId(), "w0");
    assertTrue(second.token() > first.token());
    host.pollCallCompleted("w0", new PollResult.OtherInstance(), 1_012);
    collectEffects(host, 1_012);
    assertEquals(sent(RunEnded.class), List.of());
    answerPoll(host, 1_050, List.of(), new PollResult.Ended(1, run(0, 1), RunEnd.DONE));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.DONE);
  }

  @Test
  public void theTokenIsRaisedAfterAFencedCall() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    long firstToken = all(HostEffect.StartCall.class).getFirst().token();
    host.startCallCompleted("w1", run(0, 1), new StartResult.Fenced(501_000), 1_002);
    collectEffects(host, 1_002);
    assertTrue(all(HostEffect.StartCall.class).getFirst().token() > firstToken);
  }

  @Test
  public void stopsAnUnknownRun() {
    WorkerHost host = hostWithOwner(1_000);
    answerPoll(host, 1_010, List.of(run(9, 3)));
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(9, 3));
  }

  @Test
  public void aWorkerThatFailsEverythingIsShownAsFailing() {
    WorkerHost host = hostWithOwner(1_000);
    answerPoll(
        host,
        1_010,
        List.of(),
        new PollResult.Ended(1, run(0, 1), RunEnd.FAILED),
        new PollResult.Ended(2, run(1, 1), RunEnd.FAILED),
        new PollResult.Ended(3, run(2, 1), RunEnd.FAILED));
    assertEquals(sent(HostRows.class).getFirst().workers().getFirst().state(), WorkerState.FAILING);
  }

  @Test
  public void aPlannedStopAcceptsNoRunsAndWaitsForTheOthers() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.stopAcceptingRuns();
    order(host, 1_010, run(1, 1));
    assertEquals(sent(RunNotStarted.class).getFirst().reason(), RunRefusal.NOT_READY);
    assertFalse(host.isIdle());
    answerPoll(host, 1_100, List.of(), new PollResult.Ended(1, run(0, 1), RunEnd.DONE));
    assertTrue(host.isIdle());
  }

  @Test
  public void theFirstListOfAWorkerIsRequestedWithoutAWait() {
    WorkerHost host =
        ZoneFixtures.noneEvacuated(
            WorkerHost.create("h", 1, "z", TIMING, 100, 1_000 - RUNS_OVER_AFTER_MS));
    host.workerHeartbeat(worker("w1", false, 1), 1_000);
    collectEffects(host, 1_000);
    assertEquals(all(HostEffect.PollCall.class).getFirst().waitMs(), 0);
    answerPoll(host, 1_002, List.of());
    assertTrue(all(HostEffect.PollCall.class).getFirst().waitMs() > 0);
  }

  @Test
  public void anOwnerThatDoesNotFollowReceivesRowsOnlyWithItsHeartbeats() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 1_000, false, 1_000);
    collectEffects(host, 1_000);
    order(host, 1_200, run(0, 1));
    collectEffects(host, 1_400);
    assertEquals(sent(HostRows.class), List.of());
    host.ownerHeartbeat(SESSION, 1_450, false, 1_450);
    collectEffects(host, 1_450);
    HostRows rows = sent(HostRows.class).getFirst();
    assertEquals(rows.workers().getFirst().free(), Rooms.minus(CAPACITY, NEED));
  }

  @Test
  public void everyOwnerIsInformedAtOnceOfADrainingWorker() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 1_000, false, 1_000);
    collectEffects(host, 1_000);
    host.workerHeartbeat(worker("w1", true, 2), 1_010);
    collectEffects(host, 1_010);
    HostRows rows = sent(HostRows.class).getFirst();
    assertEquals(rows.workers().getFirst().state(), WorkerState.DRAINING);
  }

  @Test
  public void aHeartbeatIsAnsweredUnlessRowsWereSentRecently() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 1_050, true, 1_050);
    collectEffects(host, 1_050);
    assertEquals(sent(HostRows.class), List.of());
    host.ownerHeartbeat(SESSION, 1_230, true, 1_230);
    collectEffects(host, 1_230);
    assertEquals(sent(HostRows.class).size(), 1);
  }

  @Test
  public void everyOwnerIsInformedOfAStalledWorker() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1), run(1, 1));
    for (int i = 0; i < 2; i++) {
      host.startCallCompleted("w1", run(i, 1), new StartResult.Started(501_000), 1_001);
    }
    answerPoll(host, 1_010, List.of(run(0, 1), run(1, 1)));
    answerPoll(host, 1_060, List.of(run(0, 1), run(1, 1)));
    answerPoll(host, 1_110, List.of(run(0, 1), run(1, 1)));
    assertEquals(sent(HostRows.class).getFirst().workers().getFirst().state(), WorkerState.STALLED);
  }

  /** An unanswered start may be carried out seconds later, when its job has long been cancelled. */
  @Test
  public void aRunThatStartsAfterItsEndWasReportedIsStoppedAndOccupiesRoom() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 1_000, true, 1_000);
    order(host, 1_000, run(0, 1));
    for (int call = 1; call <= 3; call++) {
      host.startCallCompleted("w1", run(0, 1), new StartResult.Unanswered(), 1_000 + 30 * call);
      host.pollCallCompleted("w1", new PollResult.Unanswered(), 1_000 + 30 * call);
    }
    host.stopRun(SESSION, run(0, 1), 1_100);
    long lostAtMs = 1_090 + RUNS_OVER_AFTER_MS;
    host.ownerHeartbeat(SESSION, lostAtMs, true, lostAtMs);
    host.onTick(lostAtMs);
    collectEffects(host, lostAtMs);
    assertEquals(sent(RunEnded.class), List.of(new RunEnded(run(0, 1), RunEnd.LOST, 0)));

    answerPoll(host, 4_000, List.of(run(0, 1)));
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0, 1));
    host.ownerHeartbeat(SESSION, 4_000, true, 4_000);
    collectEffects(host, 4_000);
    assertEquals(sent(HostRows.class).getFirst().workers().getFirst().state(), WorkerState.SILENT);
    answerPoll(host, 4_060, List.of(), new PollResult.Ended(1, run(0, 1), RunEnd.STOPPED));
    order(host, 4_061, run(1, 1));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  /** The host that started the run is gone, and its successor on the box does not know the run. */
  @Test
  public void aRunOfARemovedHostIsStoppedUntilItIsNoLongerListed() {
    WorkerHost successor =
        ZoneFixtures.noneEvacuated(WorkerHost.create("h", 2, "z", TIMING, 200, 1_000));
    successor.workerHeartbeat(worker("w1", false, 1), 1_000);
    answerPoll(successor, 1_002, List.of(run(0, 1)));
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0, 1));
    successor.stopCallCompleted("w1", run(0, 1), false, 1_030);
    answerPoll(successor, 1_060, List.of(run(0, 1)));
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0, 1));
    answerPoll(successor, 1_120, List.of());
    assertEquals(all(HostEffect.StopCall.class), List.of());
  }

  /** Completes a start call only after the host was paused for the length of an owner's lease. */
  private void completeStartAfterPause(StartResult result) {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 1_000, true, 1_000);
    order(host, 1_010, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), result, 1_010 + TIMING.ownerLeaseMs());
    collectEffects(host, 1_010 + TIMING.ownerLeaseMs());
  }

  /** The owner has considered this host lost meanwhile and may have started the task elsewhere. */
  @Test
  public void noStartIsRepeatedForAnOwnerWhoseLeaseHasExpired() {
    completeStartAfterPause(new StartResult.Unanswered());
    assertEquals(all(HostEffect.StartCall.class), List.of());
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0, 1));

    completeStartAfterPause(new StartResult.Fenced(501_000));
    assertEquals(all(HostEffect.StartCall.class), List.of());

    completeStartAfterPause(new StartResult.Late(501_000));
    assertEquals(all(HostEffect.StartCall.class), List.of());
  }

  /**
   * An owner that does not know of an evacuation keeps sending orders, which only the host can
   * refuse. Runs in progress continue to their ends, and the worker accepts runs again once the
   * zone is restored.
   */
  @Test
  public void inAnEvacuatedZoneNoRunStartsAndOthersContinue() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_001);
    assertTrue(host.evacuatedZonesReceived(new EvacuatedZones(1, List.of("z")), "replica", 1_010));
    collectEffects(host, 1_010);
    assertEquals(sent(HostRows.class).getLast().workers().getFirst().state(), WorkerState.DRAINING);
    order(host, 1_020, run(1, 1));
    assertEquals(
        sent(RunNotStarted.class),
        List.of(new RunNotStarted(run(1, 1), RunRefusal.ZONE_EVACUATED)));
    assertEquals(all(HostEffect.StartCall.class), List.of());
    assertEquals(all(HostEffect.StopCall.class), List.of());
    assertEquals(host.refusedForZoneCount(), 1);
    answerPoll(host, 1_100, List.of(), new PollResult.Ended(1, run(0, 1), RunEnd.DONE));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.DONE);
    host.evacuatedZonesReceived(new EvacuatedZones(2, List.of()), "replica", 1_200);
    order(host, 1_210, run(1, 2));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void theEvacuationOfAnotherZoneChangesNothing() {
    WorkerHost host = hostWithOwner(1_000);
    host.evacuatedZonesReceived(new EvacuatedZones(1, List.of("other")), "replica", 1_010);
    order(host, 1_020, run(0, 1));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  /** A box may have been disconnected while its zone was evacuated. */
  @Test
  public void aHostThatDoesNotKnowTheEvacuatedZonesStartsNothing() {
    WorkerHost host = WorkerHost.create("h", 1, "z", TIMING, 100, 1_000 - RUNS_OVER_AFTER_MS);
    host.workerHeartbeat(worker("w1", false, 1), 1_000);
    host.sessionOpened(SESSION, "o", 1_000);
    answerPoll(host, 1_000, List.of());
    order(host, 1_010, run(0, 1));
    assertEquals(sent(RunNotStarted.class).getFirst().reason(), RunRefusal.ZONE_EVACUATED);
    host.evacuatedZonesReceived(new EvacuatedZones(0, List.of()), "replica", 1_020);
    order(host, 1_021, run(0, 2));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  /** A start call without a response would otherwise be repeated after the evacuation. */
  @Test
  public void anUnansweredStartIsNotRepeatedOnceTheZoneIsEvacuated() {
    WorkerHost host = hostWithOwner(1_000);
    order(host, 1_000, run(0, 1));
    host.evacuatedZonesReceived(new EvacuatedZones(1, List.of("z")), "replica", 1_010);
    host.startCallCompleted("w1", run(0, 1), new StartResult.Unanswered(), 1_025);
    collectEffects(host, 1_025);
    assertEquals(all(HostEffect.StartCall.class), List.of());
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0, 1));
  }

  /** An owner without runs at a host does not renew its lease there. */
  @Test
  public void aSessionWithoutRunsOutlivesItsLeaseAndCanRenewIt() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 1_000, true, 1_000);
    host.onTick(1_000 + RunTiming.IDLE_SESSION_TIMEOUT_MS - 1);
    collectEffects(host, 1_000 + RunTiming.IDLE_SESSION_TIMEOUT_MS - 1);
    assertEquals(all(HostEffect.CloseSession.class), List.of());
    host.ownerHeartbeat(SESSION, 3_000, true, 3_000);
    order(host, 3_001, run(0, 1));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void anOrderWithoutALeaseIsRefused() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 1_000, true, 1_000);
    order(host, 1_000 + TIMING.ownerLeaseMs(), run(0, 1));
    assertEquals(sent(RunNotStarted.class).getFirst().reason(), RunRefusal.NOT_READY);
  }

  @Test
  public void aSessionWithoutRunsIsClosedAfterMissingHeartbeats() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 1_000, true, 1_000);
    host.onTick(1_000 + RunTiming.IDLE_SESSION_TIMEOUT_MS);
    collectEffects(host, 1_000 + RunTiming.IDLE_SESSION_TIMEOUT_MS);
    assertEquals(all(HostEffect.CloseSession.class).size(), 1);
  }

  @Test
  public void aLeaseThatExpiresDuringARunClosesTheSession() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 1_000, true, 1_000);
    order(host, 1_001, run(0, 1));
    host.startCallCompleted("w1", run(0, 1), new StartResult.Started(501_000), 1_002);
    host.onTick(1_000 + TIMING.ownerLeaseMs());
    collectEffects(host, 1_000 + TIMING.ownerLeaseMs());
    assertEquals(all(HostEffect.CloseSession.class).size(), 1);
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0, 1));
  }

  /**
   * The first heartbeat yields the clock offset. If it takes 600 ms, as from an owner that has just
   * started, each lease expires 600 ms early. Closing such sessions made all owners of a fleet that
   * started together open theirs twice while callers waited.
   */
  @Test
  public void aDelayedFirstHeartbeatCausesANewClockComparison() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 5_600, true, 1_600);
    collectEffects(host, 1_600);
    assertEquals(all(HostEffect.CloseSession.class), List.of());
    SessionProbe probe = sent(SessionProbe.class).getFirst();
    order(host, 1_650, run(0, 1));
    assertEquals(all(HostEffect.StartCall.class), List.of());
    host.proofReceived(SESSION, probe.number(), 5_650, 1_652);
    host.ownerHeartbeat(SESSION, 5_700, true, 1_702);
    order(host, 1_703, run(0, 2));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void noSecondProbeIsSentWhileOneIsPending() {
    WorkerHost host = hostWithOwner(1_000);
    host.ownerHeartbeat(SESSION, 5_600, true, 1_600);
    host.ownerHeartbeat(SESSION, 5_610, true, 1_610);
    collectEffects(host, 1_610);
    assertEquals(sent(SessionProbe.class).size(), 1);
  }

  /**
   * Guards against a heartbeat that moves a known worker to another service, where no owner uses
   * it.
   */
  @Test
  public void aHeartbeatThatNamesAnotherServiceForAKnownWorkerChangesNothing() {
    WorkerHost host = hostWithOwner(1_000);
    host.workerHeartbeat(
        new WorkerInfo("w1", "other", "10.0.0.1:1", "z", true, CAPACITY, List.of(), 9, 500_000),
        1_010);
    host.workerHeartbeat(worker("w1", false, 2), 1_020);
    order(host, 1_030, run(0, 1));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }
}
