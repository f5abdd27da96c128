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

/** Tests how a host assigns freed room of a full worker to its owners. */
public final class RoomReservationsTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final Room CAPACITY = new Room(2_000, 1_000, 0);
  private static final Room NEED = new Room(1_000, 10, 0);
  private static final long FIRST_SESSION = 1;
  private static final long SECOND_SESSION = 2;
  private static final RunRef ENDING_RUN = new RunRef("j.0.0", 1);
  private static final RunRef REMAINING_RUN = new RunRef("j.0.1", 1);

  private final List<HostEffect> effects = new ArrayList<>();
  private WorkerHost host;
  private long order;

  @BeforeMethod
  public void createFullWorker() {
    host =
        ZoneFixtures.noneEvacuated(
            WorkerHost.create("h", 1, "z", TIMING, 100, 1_000 - TIMING.workerRunsOverAfterMs()));
    host.workerHeartbeat(
        new WorkerInfo("w", "s", "10.0.0.1:1", "z", false, CAPACITY, List.of(), 1, 500_000), 1_000);
    host.sessionOpened(FIRST_SESSION, "o1", 1_000);
    host.sessionOpened(SECOND_SESSION, "o2", 1_000);
    answerPoll(1_000, List.of());
    order(FIRST_SESSION, 1_000, ENDING_RUN, REMAINING_RUN);
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

  private void reportWaitingTask(long session, int rank, long waitedMs, long nowMs) {
    WaitingRow row = new WaitingRow("s", rank, waitedMs, 1);
    host.updateWaitingTasks(session, new OwnerWaiting(List.of(row)), nowMs);
    collectEffects(nowMs);
  }

  private void endOneRun(long nowMs) {
    answerPoll(nowMs, List.of(REMAINING_RUN), new PollResult.Ended(1, ENDING_RUN, RunEnd.DONE));
  }

  /** Returns the free CPU in the last rows sent to a session; -1 if none were sent. */
  private long sentFreeCpuMilli(long session) {
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

  private long refusalCount() {
    return effects.stream()
        .filter(
            e -> e instanceof HostEffect.SendToOwner to && to.message() instanceof RunNotStarted)
        .count();
  }

  @Test
  public void freedRoomIsReservedForTheOwnerWithTheMostUrgentTasks() {
    reportWaitingTask(FIRST_SESSION, 2, 500, 1_101);
    reportWaitingTask(SECOND_SESSION, 0, 10, 1_102);
    endOneRun(1_103);
    assertEquals(sentFreeCpuMilli(SECOND_SESSION), 1_000);
    assertEquals(sentFreeCpuMilli(FIRST_SESSION), -1);
  }

  @Test
  public void amongEquallyUrgentTasksTheOldestComesFirst() {
    reportWaitingTask(FIRST_SESSION, 1, 500, 1_101);
    reportWaitingTask(SECOND_SESSION, 1, 10, 1_102);
    endOneRun(1_103);
    assertEquals(sentFreeCpuMilli(FIRST_SESSION), 1_000);
    assertEquals(sentFreeCpuMilli(SECOND_SESSION), -1);
  }

  @Test
  public void reservedRoomIsRefusedToOtherOwners() {
    reportWaitingTask(SECOND_SESSION, 0, 10, 1_102);
    endOneRun(1_103);
    order(FIRST_SESSION, 1_104, new RunRef("k.0.0", 1));
    assertEquals(refusalCount(), 1);
    order(SECOND_SESSION, 1_105, new RunRef("l.0.0", 1));
    assertEquals(refusalCount(), 0);
  }

  @Test
  public void anExpiredReservationPassesToTheNextOwner() {
    reportWaitingTask(FIRST_SESSION, 2, 500, 1_101);
    reportWaitingTask(SECOND_SESSION, 0, 10, 1_102);
    endOneRun(1_103);
    collectEffects(1_103 + RoomReservations.RESERVATION_MS);
    assertEquals(sentFreeCpuMilli(FIRST_SESSION), 1_000);
    order(FIRST_SESSION, 1_114, new RunRef("k.0.0", 1));
    assertEquals(refusalCount(), 0);
  }

  /**
   * Guards against an idle worker that refuses every order, because each order arrives while the
   * room is reserved for another owner.
   */
  @Test
  public void anIdleWorkerIgnoresReservations() {
    reportWaitingTask(SECOND_SESSION, 0, 10, 1_102);
    PollResult.Ended first = new PollResult.Ended(1, ENDING_RUN, RunEnd.DONE);
    PollResult.Ended last = new PollResult.Ended(2, REMAINING_RUN, RunEnd.DONE);
    answerPoll(1_103, List.of(), first, last);
    RunRef wholeWorker = new RunRef("k.0.0", 1);
    StartRuns message =
        new StartRuns(++order, "w", "j", "spec", 100, CAPACITY, List.of(wholeWorker));
    host.startRuns(FIRST_SESSION, message, 1_104);
    collectEffects(1_104);
    assertEquals(refusalCount(), 0);
  }

  @Test
  public void noRoomIsReservedForAnOwnerWhoseSessionEnded() {
    reportWaitingTask(FIRST_SESSION, 2, 500, 1_101);
    reportWaitingTask(SECOND_SESSION, 0, 10, 1_102);
    host.sessionEnded(SECOND_SESSION, "closed", 1_102);
    endOneRun(1_103);
    assertEquals(sentFreeCpuMilli(FIRST_SESSION), 1_000);
  }

  @Test
  public void theReservationOfALostOwnerIsCancelled() {
    reportWaitingTask(SECOND_SESSION, 0, 10, 1_102);
    endOneRun(1_103);
    host.sessionEnded(SECOND_SESSION, "closed", 1_104);
    order(FIRST_SESSION, 1_104, new RunRef("k.0.0", 1));
    assertEquals(refusalCount(), 0);
  }

  @Test
  public void anOwnerWithWaitingTasksReceivesRowsOnceRoomIsReservedForIt() {
    reportWaitingTask(SECOND_SESSION, 0, 10, 1_102);
    assertEquals(sentFreeCpuMilli(SECOND_SESSION), -1);
    endOneRun(1_103);
    assertEquals(sentFreeCpuMilli(SECOND_SESSION), 1_000);
  }

  @Test
  public void withoutWaitingTasksAnyOwnerMayUseFreedRoom() {
    endOneRun(1_103);
    order(SECOND_SESSION, 1_104, new RunRef("l.0.0", 1));
    assertEquals(refusalCount(), 0);
  }
}
