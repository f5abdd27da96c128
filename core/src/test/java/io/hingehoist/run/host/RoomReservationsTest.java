package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.WaitingRow;
import io.hingehoist.run.RunTiming;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How a host gives freed room of a full worker to its owners. */
public final class RoomReservationsTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final Room CAPACITY = new Room(2_000, 1_000, 0);
  private static final Room NEED = new Room(1_000, 10, 0);
  private static final long FIRST = 1;
  private static final long SECOND = 2;
  private static final RunRef ENDS = new RunRef("j.0.0", 1);
  private static final RunRef STAYS = new RunRef("j.0.1", 1);

  private final List<HostEffect> effects = new ArrayList<>();
  private WorkerHost host;
  private long order;

  @BeforeMethod
  public void fillAWorker() {
    host =
        ZoneFixtures.noneEvacuated(
            WorkerHost.create("h", 1, "z", TIMING, 100, 1_000 - TIMING.workerRunsOverAfterMs()));
    host.workerHeartbeat(
        new WorkerInfo("w", "s", "10.0.0.1:1", "z", false, CAPACITY, List.of(), 1, 500_000), 1_000);
    host.sessionOpened(FIRST, "o1", 1_000);
    host.sessionOpened(SECOND, "o2", 1_000);
    answerPoll(1_000, List.of());
    order(FIRST, 1_000, ENDS, STAYS);
    collectEffects(1_100);
  }

  private void collectEffects(long nowMs) {
    host.publishWorkers(nowMs);
    effects.clear();
    effects.addAll(host.drainEffects());
  }

  private void answerPoll(long nowMs, List<RunRef> running, PollResult.Ended... ended) {
    host.pollCallCompleted("w", PollResults.listed(nowMs, running, ended), nowMs);
    collectEffects(nowMs);
  }

  private void order(long session, long nowMs, RunRef... runs) {
    StartRuns message = new StartRuns(++order, "w", "j", "spec", 100, NEED, List.of(runs));
    host.startRuns(session, message, nowMs);
    collectEffects(nowMs);
  }

  private void waiting(long session, int rank, long waitedMs, long nowMs) {
    WaitingRow row = new WaitingRow("s", rank, waitedMs, 1);
    host.updateWaitingTasks(session, new OwnerWaiting(List.of(row)), nowMs);
    collectEffects(nowMs);
  }

  private void endOne(long nowMs) {
    answerPoll(nowMs, List.of(STAYS), new PollResult.Ended(1, ENDS, RunEnd.DONE));
  }

  /** Returns the processor room that a connection was shown last; -1 if it was shown nothing. */
  private long shown(long session) {
    long cpuMilli = -1;
    for (HostEffect effect : effects) {
      if (effect instanceof HostEffect.SendToOwner to
          && to.sessionId() == session
          && to.message() instanceof HostRows rows) {
        cpuMilli = rows.workers().getFirst().free().cpuMilli();
      }
    }
    return cpuMilli;
  }

  private long refused() {
    return effects.stream()
        .filter(
            e -> e instanceof HostEffect.SendToOwner to && to.message() instanceof RunNotStarted)
        .count();
  }

  @Test
  public void freedRoomIsOfferedToTheOwnerWithTheMostUrgentWork() {
    waiting(FIRST, 2, 500, 1_101);
    waiting(SECOND, 0, 10, 1_102);
    endOne(1_103);
    assertEquals(shown(SECOND), 1_000);
    assertEquals(shown(FIRST), -1);
  }

  @Test
  public void ofWorkThatIsAsUrgentTheOldestComesFirst() {
    waiting(FIRST, 1, 500, 1_101);
    waiting(SECOND, 1, 10, 1_102);
    endOne(1_103);
    assertEquals(shown(FIRST), 1_000);
    assertEquals(shown(SECOND), -1);
  }

  @Test
  public void offeredRoomIsNotForOthers() {
    waiting(SECOND, 0, 10, 1_102);
    endOne(1_103);
    order(FIRST, 1_104, new RunRef("k.0.0", 1));
    assertEquals(refused(), 1);
    order(SECOND, 1_105, new RunRef("l.0.0", 1));
    assertEquals(refused(), 0);
  }

  @Test
  public void anOfferThatIsNotUsedGoesToTheNext() {
    waiting(FIRST, 2, 500, 1_101);
    waiting(SECOND, 0, 10, 1_102);
    endOne(1_103);
    collectEffects(1_103 + RoomReservations.RESERVATION_MS);
    assertEquals(shown(FIRST), 1_000);
    order(FIRST, 1_114, new RunRef("k.0.0", 1));
    assertEquals(refused(), 0);
  }

  /** An idle worker refused every order: each came when the room had been offered to another. */
  @Test
  public void anIdleWorkerRefusesNoOrderForAnOffer() {
    waiting(SECOND, 0, 10, 1_102);
    PollResult.Ended first = new PollResult.Ended(1, ENDS, RunEnd.DONE);
    PollResult.Ended last = new PollResult.Ended(2, STAYS, RunEnd.DONE);
    answerPoll(1_103, List.of(), first, last);
    RunRef whole = new RunRef("k.0.0", 1);
    StartRuns message = new StartRuns(++order, "w", "j", "spec", 100, CAPACITY, List.of(whole));
    host.startRuns(FIRST, message, 1_104);
    collectEffects(1_104);
    assertEquals(refused(), 0);
  }

  @Test
  public void anOwnerThatIsGoneIsOfferedNothing() {
    waiting(FIRST, 2, 500, 1_101);
    waiting(SECOND, 0, 10, 1_102);
    host.sessionEnded(SECOND, "closed", 1_102);
    endOne(1_103);
    assertEquals(shown(FIRST), 1_000);
  }

  @Test
  public void anOwnerThatIsLostLeavesItsOfferToOthers() {
    waiting(SECOND, 0, 10, 1_102);
    endOne(1_103);
    host.sessionEnded(SECOND, "closed", 1_104);
    order(FIRST, 1_104, new RunRef("k.0.0", 1));
    assertEquals(refused(), 0);
  }

  @Test
  public void anOwnerThatSaysWhatWaitsIsShownTheWorkersOnceItIsOfferedRoom() {
    waiting(SECOND, 0, 10, 1_102);
    assertEquals(shown(SECOND), -1);
    endOne(1_103);
    assertEquals(shown(SECOND), 1_000);
  }

  @Test
  public void withoutWaitingWorkAnyOwnerMayTakeFreedRoom() {
    endOne(1_103);
    order(SECOND, 1_104, new RunRef("l.0.0", 1));
    assertEquals(refused(), 0);
  }
}
