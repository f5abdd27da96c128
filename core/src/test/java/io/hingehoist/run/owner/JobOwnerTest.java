package io.hingehoist.run.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.StopRun;
import io.hingehoist.message.WaitingRow;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import io.hingehoist.run.JobEnd;
import io.hingehoist.run.JobPlan;
import io.hingehoist.run.Rooms;
import io.hingehoist.run.RunTiming;
import io.hingehoist.run.StepPlan;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public final class JobOwnerTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final Room NEED = new Room(1_000, 10, 0);
  private static final Room SMALL = new Room(2_000, 1_000, 0);

  private final List<OwnerEffect> effects = new ArrayList<>();

  private static WorkerRow row(String id, Room free, WorkerState state) {
    return new WorkerRow(id, "s", "z", List.of("a", "r1"), SMALL, free, state, 0);
  }

  private static JobPlan plan(String id, int priority, int attempts, StepPlan... steps) {
    return new JobPlan(id, "q", "s", "spec", priority, attempts, 100, 300, List.of(steps));
  }

  private static StepPlan step(int count) {
    return StepPlan.of(count, NEED, 100);
  }

  private JobOwner ownerWith(String... hosts) {
    JobOwner owner = JobOwner.create(TIMING);
    for (String host : hosts) {
      owner.sessionOpened(host, "z", 1, true);
      sendRows(owner, host, SMALL, 0);
    }
    collectEffects(owner, 0);
    return owner;
  }

  private void sendRows(JobOwner owner, String host, Room free, long lastOrder) {
    owner.hostRowsReceived(
        host, new HostRows(lastOrder, List.of(row(host + "-w", free, WorkerState.READY))), 0);
  }

  private void collectEffects(JobOwner owner, long nowMs) {
    owner.place(nowMs);
    effects.clear();
    effects.addAll(owner.drainEffects());
  }

  private List<RunRef> started() {
    List<RunRef> runs = new ArrayList<>();
    for (OwnerEffect effect : effects) {
      if (effect instanceof OwnerEffect.SendToHost to && to.message() instanceof StartRuns order) {
        runs.addAll(order.runs());
      }
    }
    return runs;
  }

  private List<JobEnd> answers() {
    List<JobEnd> ends = new ArrayList<>();
    for (OwnerEffect effect : effects) {
      if (effect instanceof OwnerEffect.AnswerJob answer) {
        ends.add(answer.end());
      }
    }
    return ends;
  }

  private long stops() {
    return effects.stream()
        .filter(e -> e instanceof OwnerEffect.SendToHost to && to.message() instanceof StopRun)
        .count();
  }

  @Test
  public void completesAJobOnceEveryTaskHasEnded() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(2)), 0);
    collectEffects(owner, 0);
    assertEquals(started().size(), 2);
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.0", 1), RunEnd.DONE, 100), 100);
    collectEffects(owner, 100);
    assertEquals(answers(), List.of());
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.1", 1), RunEnd.DONE, 100), 100);
    collectEffects(owner, 100);
    assertEquals(answers(), List.of(new JobEnd.Completed()));
  }

  @Test
  public void aRepeatedSubmissionStartsNothing() {
    JobOwner owner = ownerWith("h1");
    assertTrue(owner.submit(plan("j", 0, 2, step(1)), 0));
    assertFalse(owner.submit(plan("j", 0, 2, step(1)), 5));
    collectEffects(owner, 5);
    assertEquals(started().size(), 1);
  }

  /** Guards against a second run: the report of a former run was taken for that of the present. */
  @Test
  public void theEndOfAStoppedRunIsNotThatOfTheSameJobSubmittedAgain() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(1)), 0);
    collectEffects(owner, 0);
    owner.drop("j", "caller disconnected");
    owner.submit(plan("j", 0, 2, step(1)), 10);
    collectEffects(owner, 10);
    assertEquals(started(), List.of(new RunRef("j.0.0", 2)));
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.0", 1), RunEnd.STOPPED, 0), 20);
    sendRows(owner, "h1", SMALL, 2);
    collectEffects(owner, 20);
    assertEquals(started(), List.of());
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.0", 2), RunEnd.DONE, 100), 120);
    collectEffects(owner, 120);
    assertEquals(answers(), List.of(new JobEnd.Completed()));
  }

  /** Guards against the same if the job has been at another host in between. */
  @Test
  public void theEndOfAStoppedRunIsNotThatOfTheSameJobSubmittedTwiceAgain() {
    JobOwner owner = ownerWith("h1", "h2");
    String firstHost = submitAndDrop(owner, 0);
    sendRows(owner, firstHost, Rooms.none(), 1);
    String secondHost = submitAndDrop(owner, 10);
    assertNotEquals(secondHost, firstHost);
    sendRows(owner, firstHost, SMALL, 1);
    sendRows(owner, secondHost, Rooms.none(), 1);
    owner.submit(plan("j", 0, 2, step(1)), 20);
    collectEffects(owner, 20);
    assertEquals(hostOfOrder(), firstHost);
    owner.runEnded(firstHost, new RunEnded(new RunRef("j.0.0", 1), RunEnd.STOPPED, 0), 30);
    sendRows(owner, firstHost, SMALL, 2);
    collectEffects(owner, 30);
    assertEquals(started(), List.of());
  }

  private String submitAndDrop(JobOwner owner, long nowMs) {
    owner.submit(plan("j", 0, 2, step(1)), nowMs);
    collectEffects(owner, nowMs);
    String host = hostOfOrder();
    owner.drop("j", "caller disconnected");
    return host;
  }

  private String hostOfOrder() {
    return effects.stream()
        .filter(e -> e instanceof OwnerEffect.SendToHost to && to.message() instanceof StartRuns)
        .map(e -> ((OwnerEffect.SendToHost) e).hostId())
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void startsAStepOnlyAfterItsDependencies() {
    JobOwner owner = ownerWith("h1");
    StepPlan second = new StepPlan(1, NEED, 100, List.of(0), "", "", 0);
    owner.submit(plan("j", 0, 2, step(1), second), 0);
    collectEffects(owner, 0);
    assertEquals(started(), List.of(new RunRef("j.0.0", 1)));
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.0", 1), RunEnd.DONE, 100), 100);
    sendRows(owner, "h1", SMALL, 1);
    collectEffects(owner, 100);
    assertEquals(started(), List.of(new RunRef("j.1.0", 1)));
  }

  @Test
  public void ordersNoMoreThanTheReportedRoom() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(5)), 0);
    collectEffects(owner, 0);
    assertEquals(started().size(), 2);
    // A row from before the order reports the room as free, from which the order is subtracted.
    sendRows(owner, "h1", SMALL, 0);
    collectEffects(owner, 1);
    assertEquals(started().size(), 0);
  }

  @Test
  public void moreUrgentJobsAreStartedFirst() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("late", 2, 2, step(2)), 0);
    owner.submit(plan("soon", 0, 2, step(2)), 0);
    collectEffects(owner, 0);
    assertEquals(started(), List.of(new RunRef("soon.0.0", 1), new RunRef("soon.0.1", 1)));
  }

  @Test
  public void aFailedTaskIsRetriedUntilItsAttemptsAreUsed() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(1)), 0);
    collectEffects(owner, 0);
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.0", 1), RunEnd.FAILED, 10), 10);
    sendRows(owner, "h1", SMALL, 1);
    collectEffects(owner, 10);
    assertEquals(started(), List.of(new RunRef("j.0.0", 2)));
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.0", 2), RunEnd.FAILED, 10), 20);
    collectEffects(owner, 20);
    assertTrue(answers().getFirst() instanceof JobEnd.Failed);
  }

  @Test
  public void failuresOnAWorkerThatFailsEverythingUseNoAttempt() {
    JobOwner owner = ownerWith("h1", "h2");
    owner.submit(plan("j", 0, 1, step(1)), 0);
    collectEffects(owner, 0);
    String host = ((OwnerEffect.SendToHost) effects.get(effects.size() - 1)).hostId();
    owner.hostRowsReceived(
        host, new HostRows(1, List.of(row(host + "-w", SMALL, WorkerState.FAILING))), 0);
    owner.runEnded(host, new RunEnded(new RunRef("j.0.0", 1), RunEnd.FAILED, 10), 10);
    collectEffects(owner, 10);
    assertEquals(answers(), List.of());
    assertEquals(started(), List.of(new RunRef("j.0.0", 2)));
  }

  @Test
  public void skipsRunNumbersAfterARefusedOne() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(1)), 0);
    collectEffects(owner, 0);
    owner.runNotStarted("h1", new RunNotStarted(new RunRef("j.0.0", 1), RunRefusal.OLD_NUMBER), 5);
    sendRows(owner, "h1", SMALL, 1);
    collectEffects(owner, 5);
    assertEquals(started(), List.of(new RunRef("j.0.0", 18)));
  }

  @Test
  public void runsOfALostHostAreRetriedOnlyOnceTheyMustHaveEnded() {
    JobOwner owner = ownerWith("h1");
    owner.submit(new JobPlan("j", "q", "s", "spec", 0, 2, 10_000, 30_000, List.of(step(1))), 0);
    collectEffects(owner, 0);
    owner.sessionLost("h1", true, 100);
    owner.sessionOpened("h2", "z", 1, true);
    sendRows(owner, "h2", SMALL, 0);
    owner.onTick(100 + TIMING.runsOverAfterSilenceMs() - 1);
    collectEffects(owner, 100 + TIMING.runsOverAfterSilenceMs() - 1);
    assertEquals(started(), List.of());
    owner.onTick(100 + TIMING.runsOverAfterSilenceMs());
    collectEffects(owner, 100 + TIMING.runsOverAfterSilenceMs());
    assertEquals(started(), List.of(new RunRef("j.0.0", 2)));
  }

  @Test
  public void aNewSessionCanConfirmThatFormerRunsHaveEnded() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(1)), 0);
    collectEffects(owner, 0);
    owner.sessionLost("h1", false, 100);
    owner.sessionOpened("h1", "z", 2, true);
    sendRows(owner, "h1", SMALL, 0);
    collectEffects(owner, 200);
    assertEquals(started(), List.of(new RunRef("j.0.0", 2)));
  }

  @Test
  public void stopsTheRunsOfADroppedJob() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(2)), 0);
    collectEffects(owner, 0);
    owner.drop("j", "caller disconnected");
    collectEffects(owner, 10);
    assertEquals(stops(), 2);
    assertTrue(answers().getFirst() instanceof JobEnd.Dropped);
  }

  @Test
  public void refusesAJobThatWasNotStartedInTime() {
    JobOwner owner = JobOwner.create(TIMING);
    owner.submit(plan("j", 0, 2, step(1)), 0);
    owner.onTick(119);
    collectEffects(owner, 119);
    assertEquals(answers(), List.of());
    owner.onTick(120);
    collectEffects(owner, 120);
    assertTrue(answers().getFirst() instanceof JobEnd.Refused);
  }

  @Test
  public void withoutWorkersAJobThatExpiresSoonIsRefused() {
    JobOwner owner = JobOwner.create(TIMING);
    owner.onTick(1_000);
    owner.onTick(1_400);
    JobPlan expiresSoon = new JobPlan("j", "q", "s", "spec", 0, 2, 500, 1_500, List.of(step(1)));
    JobPlan expiresLater = new JobPlan("k", "q", "s", "spec", 0, 2, 2_000, 6_000, List.of(step(1)));
    owner.submit(expiresSoon, 1_400);
    owner.submit(expiresLater, 1_400);
    owner.onTick(1_450);
    collectEffects(owner, 1_450);
    assertEquals(answers().size(), 1);
    assertTrue(answers().getFirst() instanceof JobEnd.Refused);
    assertEquals(owner.jobCount(), 1);
  }

  @Test
  public void aJobThatMayHaveStartedIsNeverRefused() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(1)), 0);
    collectEffects(owner, 0);
    // It does not fail either, as no task has used up its attempts.
    owner.onTick(10_000);
    collectEffects(owner, 10_000);
    assertEquals(answers(), List.of());
  }

  @Test
  public void aCancelledJobEndsAsCancelled() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(1)), 0);
    collectEffects(owner, 0);
    assertTrue(owner.cancel("j"));
    assertFalse(owner.cancel("j"));
    collectEffects(owner, 1);
    assertEquals(answers(), List.of(new JobEnd.Cancelled()));
    assertEquals(stops(), 1);
  }

  @Test
  public void jobsThatCanBeInTimePrecedeLateOnes() {
    JobOwner owner = ownerWith("h1");
    sendRows(owner, "h1", Rooms.none(), 0);
    owner.submit(plan("late", 0, 2, step(2)), 0);
    owner.onTick(90);
    owner.submit(plan("soon", 1, 2, step(2)), 90);
    sendRows(owner, "h1", SMALL, 0);
    collectEffects(owner, 95);
    assertEquals(started(), List.of(new RunRef("soon.0.0", 1), new RunRef("soon.0.1", 1)));
  }

  @Test
  public void aJobWhoseOrdersWereAllRefusedCountsAsNotStarted() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(1)), 0);
    collectEffects(owner, 0);
    owner.runNotStarted("h1", new RunNotStarted(new RunRef("j.0.0", 1), RunRefusal.ROOM), 5);
    sendRows(owner, "h1", Rooms.none(), 1);
    collectEffects(owner, 5);
    owner.onTick(300);
    collectEffects(owner, 300);
    assertTrue(answers().getFirst() instanceof JobEnd.Refused);
  }

  @Test
  public void movesARunFromAWorkerThatIsFarSlowerThanOthers() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(2)), 0);
    collectEffects(owner, 0);
    owner.sessionOpened("h2", "z", 1, true);
    sendRows(owner, "h2", SMALL, 0);
    owner.sessionOpened("h3", "z", 1, true);
    sendRows(owner, "h3", SMALL, 0);
    long stopped = 0;
    for (long nowMs = 25; nowMs <= 400; nowMs += 25) {
      sendState(owner, "h1", WorkerState.READY, nowMs);
      owner.onTick(nowMs);
      collectEffects(owner, nowMs);
      stopped += stops();
    }
    assertEquals(stopped, 2);
  }

  private List<OwnerWaiting> waitingReports() {
    List<OwnerWaiting> reports = new ArrayList<>();
    for (OwnerEffect effect : effects) {
      if (effect instanceof OwnerEffect.SendToHost to
          && to.message() instanceof OwnerWaiting report) {
        reports.add(report);
      }
    }
    return reports;
  }

  @Test
  public void reportsWaitingTasksToHostsUntilNoneIsLeft() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 1, 2, step(5)), 100);
    collectEffects(owner, 110);
    assertEquals(
        waitingReports(), List.of(new OwnerWaiting(List.of(new WaitingRow("s", 1, 10, 3)))));
    collectEffects(owner, 200);
    assertEquals(waitingReports(), List.of());
    owner.cancel("j");
    collectEffects(owner, 210);
    assertEquals(waitingReports(), List.of(new OwnerWaiting(List.of())));
  }

  @Test
  public void aNewHostReceivesTheWaitingTasks() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 1, 2, step(3)), 100);
    collectEffects(owner, 110);
    owner.sessionOpened("h2", "z", 1, true);
    collectEffects(owner, 111);
    assertEquals(waitingReports().size(), 1);
  }

  @Test
  public void leavesTheFreedRoomOfAFullWorkerToItsHost() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(3)), 0);
    collectEffects(owner, 0);
    sendRows(owner, "h1", new Room(0, 980, 0), 1);
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.0", 1), RunEnd.DONE, 100), 100);
    collectEffects(owner, 100);
    assertEquals(started(), List.of());
    sendRows(owner, "h1", new Room(1_000, 990, 0), 1);
    collectEffects(owner, 101);
    assertEquals(started(), List.of(new RunRef("j.0.2", 1)));
  }

  private void sendState(JobOwner owner, String host, WorkerState state, long nowMs) {
    owner.hostRowsReceived(host, new HostRows(1, List.of(row(host + "-w", SMALL, state))), nowMs);
  }

  /** Returns an owner of one job, with a run at the first of three hosts. */
  private JobOwner ownerWithARunAtTheFirstHost() {
    JobOwner owner = ownerWith("h1");
    owner.submit(plan("j", 0, 2, step(1)), 0);
    collectEffects(owner, 0);
    for (String host : List.of("h2", "h3")) {
      owner.sessionOpened(host, "z", 1, true);
      sendRows(owner, host, SMALL, 0);
    }
    return owner;
  }

  @Test
  public void aRunIsMovedFromAStalledWorker() {
    JobOwner owner = ownerWithARunAtTheFirstHost();
    owner.onTick(50);
    collectEffects(owner, 50);
    assertEquals(stops(), 0);
    sendState(owner, "h1", WorkerState.STALLED, 100);
    owner.onTick(100);
    collectEffects(owner, 100);
    assertEquals(stops(), 1);
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.0", 1), RunEnd.STOPPED, 100), 110);
    collectEffects(owner, 110);
    assertEquals(started(), List.of(new RunRef("j.0.0", 2)));
    // No run returns to the stalled worker.
    assertTrue(
        effects.stream()
            .noneMatch(
                e ->
                    e instanceof OwnerEffect.SendToHost to
                        && to.hostId().equals("h1")
                        && to.message() instanceof StartRuns));
  }

  @Test
  public void aRunThatIsAboutToEndStaysOnASlowWorker() {
    JobOwner owner = ownerWithARunAtTheFirstHost();
    sendState(owner, "h1", WorkerState.SLOW, 80);
    owner.onTick(80);
    collectEffects(owner, 80);
    assertEquals(stops(), 0);
    sendState(owner, "h1", WorkerState.SLOW, 130);
    owner.onTick(130);
    collectEffects(owner, 130);
    assertEquals(stops(), 1);
  }

  @Test
  public void aRunOfASilentHostIsNotConsideredOverdue() {
    JobOwner owner = ownerWithARunAtTheFirstHost();
    sendState(owner, "h1", WorkerState.SLOW, 80);
    owner.onTick(600);
    collectEffects(owner, 600);
    assertEquals(stops(), 0);
  }

  @Test
  public void aHostWithoutAConnectionGetsNoNewOrders() {
    JobOwner owner = ownerWith("h1");
    owner.sessionSuspended("h1");
    owner.submit(plan("j", 0, 2, step(1)), 100);
    collectEffects(owner, 100);
    assertEquals(started(), List.of());
    owner.sessionResumed("h1");
    collectEffects(owner, 150);
    assertEquals(started(), List.of(new RunRef("j.0.0", 1)));
  }

  @Test
  public void aRunContinuesWhileItsHostHasNoConnection() {
    JobOwner owner = ownerWithARunAtTheFirstHost();
    owner.sessionSuspended("h1");
    owner.onTick(5_000);
    owner.sessionResumed("h1");
    collectEffects(owner, 5_000);
    assertEquals(started(), List.of());
    assertEquals(stops(), 0);
    owner.runEnded("h1", new RunEnded(new RunRef("j.0.0", 1), RunEnd.DONE, 100), 5_001);
    collectEffects(owner, 5_001);
    assertEquals(answers(), List.of(new JobEnd.Completed()));
  }

  @Test
  public void nothingIsMovedIfMostWorkersAreStalled() {
    JobOwner owner = ownerWithARunAtTheFirstHost();
    for (String host : List.of("h1", "h2", "h3")) {
      sendState(owner, host, WorkerState.STALLED, 100);
    }
    owner.onTick(100);
    collectEffects(owner, 100);
    assertEquals(stops(), 0);
  }

  @Test
  public void aLateJobLeavesTheLastRoomToOthers() {
    JobOwner owner = ownerWith();
    for (String id : List.of("i", "j")) {
      owner.submit(new JobPlan(id, "q", "s", "spec", 0, 2, 100, 9_000, List.of(step(1))), 0);
    }
    owner.onTick(200);
    owner.sessionOpened("h1", "z", 1, true);
    sendRows(owner, "h1", SMALL, 0);
    collectEffects(owner, 200);
    // The worker has room for two such runs, but the second would leave nothing free.
    assertEquals(started(), List.of(new RunRef("i.0.0", 1)));
    owner.submit(plan("k", 0, 2, step(1)), 200);
    collectEffects(owner, 200);
    assertEquals(started(), List.of(new RunRef("k.0.0", 1)));
  }

  @Test
  public void aLateTaskThatNeedsAWholeWorkerIsStarted() {
    JobOwner owner = ownerWith();
    StepPlan whole = StepPlan.of(1, SMALL, 100);
    owner.submit(new JobPlan("j", "q", "s", "spec", 0, 2, 100, 9_000, List.of(whole)), 0);
    owner.onTick(200);
    owner.sessionOpened("h1", "z", 1, true);
    sendRows(owner, "h1", SMALL, 0);
    collectEffects(owner, 200);
    assertEquals(started().size(), 1);
  }

  /** Guards against jobs that wait until they expire for room that no worker has. */
  @Test
  public void aTaskThatFitsNoWorkerIsRefusedAtOnce() {
    JobOwner owner = ownerWith("h1", "h2");
    owner.onTick(1);
    owner.onTick(3_000);
    collectEffects(owner, 3_000);
    StepPlan oversized = StepPlan.of(1, new Room(3_000, 10, 0), 100);
    owner.submit(plan("wide", 0, 2, oversized), 3_010);
    collectEffects(owner, 3_010);
    assertTrue(
        effects.stream()
            .anyMatch(
                effect ->
                    effect instanceof OwnerEffect.AnswerJob answer
                        && answer.end() instanceof JobEnd.Refused));
  }

  /** A process that has just started may know only the small workers yet. */
  @Test
  public void anOversizedTaskWaitsUntilTheFleetIsKnown() {
    JobOwner owner = ownerWith("h1");
    owner.onTick(1);
    StepPlan oversized = StepPlan.of(1, new Room(3_000, 10, 0), 100);
    owner.submit(plan("wide", 0, 2, oversized), 10);
    collectEffects(owner, 10);
    assertEquals(owner.jobCount(), 1);
  }
}
