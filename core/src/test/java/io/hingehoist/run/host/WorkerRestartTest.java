package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.WorkerState;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests a worker that crashes and restarts under the same name and address: it has lost its state,
 * and its sequence numbers start again. A host that distinguishes workers only by name would ignore
 * the new heartbeats as outdated and the first ends as already processed.
 */
public final class WorkerRestartTest {
  private static final Room CAPACITY = new Room(4_000, 1_000, 0);
  private static final long SESSION = HostFixture.SESSION;
  private static final long STARTED_AT_MS = 1_700_000_000_000L;
  private static final long RESTARTED_AT_MS = STARTED_AT_MS + 5_000;
  private static final long MAX_CALL_DELAY_MS = 15_000;

  private HostFixture fixture;
  private WorkerHost host;

  private static WorkerInfo heartbeat(long startedAtEpochMs, boolean draining, long version) {
    return new WorkerInfo(
        "w", "s", "10.0.0.1:1", "z", draining, CAPACITY, List.of(), version, 500, startedAtEpochMs);
  }

  private static String instanceId(long startedAtEpochMs) {
    return heartbeat(startedAtEpochMs, false, 1).instanceId();
  }

  private static RunRef run(int index) {
    return new RunRef("j.0." + index, 1);
  }

  @BeforeMethod
  public void createWorkerAndSession() {
    fixture = HostFixture.startedLongBefore(1_000);
    host = fixture.host;
    host.workerHeartbeat(heartbeat(STARTED_AT_MS, false, 40), 1_000);
    host.sessionOpened(SESSION, "o", 1_000);
    answerPoll(STARTED_AT_MS, 1_000, List.of());
  }

  private void collectEffects(long nowMs) {
    fixture.collectEffects(nowMs);
  }

  private <E extends HostEffect> List<E> all(Class<E> type) {
    return fixture.all(type);
  }

  private <M extends Message> List<M> sent(Class<M> type) {
    return fixture.sent(type);
  }

  private void answerPoll(
      long startedAtEpochMs, long nowMs, List<RunRef> running, PollResult.Ended... ended) {
    answerPollAs(startedAtEpochMs, startedAtEpochMs, nowMs, running, ended);
  }

  /** Answers a poll of one instance as another instance. */
  private void answerPollAs(
      long calledStartedAtMs,
      long startedAtEpochMs,
      long nowMs,
      List<RunRef> running,
      PollResult.Ended... ended) {
    List<PollResult.Running> entries =
        running.stream().map(run -> new PollResult.Running(run, 0)).toList();
    host.pollCallCompleted(
        instanceId(calledStartedAtMs),
        new PollResult.Listed(500, startedAtEpochMs, entries, List.of(ended)),
        nowMs);
    collectEffects(nowMs);
  }

  private void order(long startedAtEpochMs, long nowMs, RunRef run) {
    fixture.order(SESSION, instanceId(startedAtEpochMs), nowMs, run);
  }

  private void start(long startedAtEpochMs, long nowMs, RunRef run) {
    fixture.start(SESSION, instanceId(startedAtEpochMs), nowMs, run);
  }

  private void restartWorker(long nowMs) {
    host.workerHeartbeat(heartbeat(RESTARTED_AT_MS, false, 1), nowMs);
    collectEffects(nowMs);
  }

  @Test
  public void theFirstHeartbeatAfterARestartEndsTheRunsOfTheFormerInstance() {
    start(STARTED_AT_MS, 1_010, run(0));
    restartWorker(1_100);
    // The new instance may have started the run, so only its list shows that the run is over.
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(host.workerCount(), 1);
    HostEffect.PollCall poll = all(HostEffect.PollCall.class).getFirst();
    assertEquals(poll.workerId(), "w");
    assertEquals(poll.lastSeen(), 0);
    assertEquals(poll.waitMs(), 0);
    answerPoll(RESTARTED_AT_MS, 1_101, List.of());
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.LOST);
    assertEquals(host.runCount(), 0);
  }

  /**
   * Guards against two runs of one task: the new instance carried out a start call before the host
   * noticed the restart, and the host reported that run as lost.
   */
  @Test
  public void aRunThatTheNewInstanceStartedIsNotReportedAsLost() {
    start(STARTED_AT_MS, 1_010, run(0));
    answerPollAs(STARTED_AT_MS, RESTARTED_AT_MS, 1_040, List.of(run(0)));
    assertEquals(sent(RunEnded.class), List.of());
    answerPoll(RESTARTED_AT_MS, 1_042, List.of(run(0)));
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(all(HostEffect.StopCall.class), List.of());
    answerPoll(RESTARTED_AT_MS, 1_060, List.of(), new PollResult.Ended(1, run(0), RunEnd.DONE));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.DONE);
  }

  @Test
  public void aRunThatTheNewInstanceStartedIsFoundAfterAHeartbeat() {
    start(STARTED_AT_MS, 1_010, run(0));
    restartWorker(1_100);
    assertEquals(sent(RunEnded.class), List.of());
    answerPoll(RESTARTED_AT_MS, 1_101, List.of(run(0)));
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(all(HostEffect.StopCall.class), List.of());
    assertEquals(host.runCount(), 1);
  }

  @Test
  public void aListRequestedBeforeTheRestartWasNoticedDoesNotEndARun() {
    start(STARTED_AT_MS, 1_010, run(0));
    answerPollAs(STARTED_AT_MS, RESTARTED_AT_MS, 1_040, List.of());
    assertEquals(sent(RunEnded.class), List.of());
    answerPoll(RESTARTED_AT_MS, 1_042, List.of(run(0)));
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(host.runCount(), 1);
  }

  @Test
  public void aRunThatTheNewInstanceStartedOutlastsASilenceForItsLongestLease() {
    start(STARTED_AT_MS, 1_010, run(0));
    answerPollAs(STARTED_AT_MS, RESTARTED_AT_MS, 1_040, List.of());
    answerPoll(RESTARTED_AT_MS, 1_042, List.of(run(0)));
    long overAtMs = 1_042 + HostFixture.TIMING.longestWorkerRunsOverAfterMs();
    for (long nowMs = 1_100; nowMs < overAtMs; nowMs += 25) {
      host.ownerHeartbeat(SESSION, nowMs, true, nowMs);
      host.pollCallCompleted(instanceId(RESTARTED_AT_MS), new PollResult.Unanswered(), nowMs);
      host.onTick(nowMs);
      collectEffects(nowMs);
      assertEquals(sent(RunEnded.class), List.of(), "at " + nowMs);
    }
    host.onTick(overAtMs);
    collectEffects(overAtMs);
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.LOST);
  }

  @Test
  public void theFirstEndsAfterARestartAreProcessed() {
    answerPoll(STARTED_AT_MS, 1_005, List.of(), new PollResult.Ended(57, run(9), RunEnd.DONE));
    restartWorker(1_100);
    answerPoll(RESTARTED_AT_MS, 1_101, List.of());
    start(RESTARTED_AT_MS, 1_110, run(0));
    answerPoll(RESTARTED_AT_MS, 1_150, List.of(), new PollResult.Ended(1, run(0), RunEnd.DONE));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.DONE);
  }

  @Test
  public void aDelayedHeartbeatOfTheFormerInstanceIsIgnored() {
    restartWorker(1_100);
    answerPoll(RESTARTED_AT_MS, 1_101, List.of());
    start(RESTARTED_AT_MS, 1_110, run(0));
    host.workerHeartbeat(heartbeat(STARTED_AT_MS, true, 41), 1_120);
    collectEffects(1_120);
    assertEquals(sent(RunEnded.class), List.of());
    order(RESTARTED_AT_MS, 1_121, run(1));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void aHeartbeatWithoutAStartTimeIsIgnored() {
    host.workerHeartbeat(heartbeat(0, true, 99), 1_010);
    collectEffects(1_010);
    order(STARTED_AT_MS, 1_011, run(0));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void aListOfTheNewInstanceEndsTheRunsOfTheFormer() {
    start(STARTED_AT_MS, 1_010, run(0));
    answerPollAs(STARTED_AT_MS, RESTARTED_AT_MS, 1_040, List.of());
    assertEquals(host.workerCount(), 1);
    // Only a list requested with the higher token shows that no earlier start call can still
    // arrive.
    order(RESTARTED_AT_MS, 1_041, run(1));
    assertEquals(all(HostEffect.StartCall.class), List.of());
    answerPoll(RESTARTED_AT_MS, 1_042, List.of());
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.LOST);
    assertEquals(sent(RunEnded.class).getFirst().run(), run(0));
    order(RESTARTED_AT_MS, 1_050, run(2));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void anUnansweredStartIsInvalidatedAtTheNewInstanceBeforeItIsOver() {
    order(STARTED_AT_MS, 1_010, run(0));
    long before = all(HostEffect.StartCall.class).getFirst().token();
    answerPollAs(STARTED_AT_MS, RESTARTED_AT_MS, 1_040, List.of());
    assertEquals(sent(RunEnded.class), List.of());
    HostEffect.StopCall stop = all(HostEffect.StopCall.class).getFirst();
    assertEquals(stop.instanceId(), instanceId(RESTARTED_AT_MS));
    assertTrue(stop.token() > before, "an earlier start call must be refused by its token");
    host.stopCallCompleted(instanceId(RESTARTED_AT_MS), run(0), true, 1_045);
    collectEffects(1_045);
    answerPoll(RESTARTED_AT_MS, 1_046, List.of());
    host.onTick(1_100);
    collectEffects(1_100);
    answerPoll(RESTARTED_AT_MS, 1_101, List.of());
    answerPoll(RESTARTED_AT_MS, 1_110, List.of());
    assertEquals(host.runCount(), 0);
    assertReportedOnlyAt(1_010 + MAX_CALL_DELAY_MS, 1_110, RunEnd.STOPPED);
  }

  /** Asserts that the end of the only run is reported at a time, and not before. */
  private void assertReportedOnlyAt(long atMs, long fromMs, RunEnd end) {
    assertEquals(sent(RunEnded.class), List.of());
    for (long nowMs = fromMs; nowMs < atMs; nowMs += 100) {
      host.ownerHeartbeat(SESSION, nowMs, true, nowMs);
      host.onTick(nowMs);
      collectEffects(nowMs);
      assertEquals(sent(RunEnded.class), List.of(), "at " + nowMs);
    }
    host.ownerHeartbeat(SESSION, atMs, true, atMs);
    host.onTick(atMs);
    collectEffects(atMs);
    assertEquals(sent(RunEnded.class).stream().map(RunEnded::end).toList(), List.of(end));
  }

  /**
   * Guards against a lost start call that the new instance carries out, although a repeated call
   * for the same run was answered by the former instance.
   */
  @Test
  public void aLostCallOfAStartedRunIsInvalidatedAtTheNewInstance() {
    order(STARTED_AT_MS, 1_010, run(0));
    host.startCallCompleted(instanceId(STARTED_AT_MS), run(0), new StartResult.Unanswered(), 1_030);
    host.startCallCompleted(instanceId(STARTED_AT_MS), run(0), new StartResult.Started(501), 1_032);
    collectEffects(1_032);
    answerPollAs(STARTED_AT_MS, RESTARTED_AT_MS, 1_040, List.of());
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(
        all(HostEffect.StopCall.class).getFirst().instanceId(), instanceId(RESTARTED_AT_MS));
  }

  /**
   * Guards against a run of the former instance being reported as lost before its number is
   * invalidated.
   */
  @Test(dataProvider = "lostLists")
  public void aStartToTheFormerInstanceOutlastsTheLeaseOfTheNew(PollResult lost) {
    order(STARTED_AT_MS, 1_010, run(0));
    answerPollAs(STARTED_AT_MS, RESTARTED_AT_MS, 1_040, List.of());
    answerPoll(RESTARTED_AT_MS, 1_046, List.of());
    for (long nowMs = 1_100; nowMs < 2_600; nowMs += 50) {
      host.ownerHeartbeat(SESSION, nowMs, true, nowMs);
      host.pollCallCompleted(instanceId(RESTARTED_AT_MS), lost, nowMs);
      host.onTick(nowMs);
      collectEffects(nowMs);
      assertEquals(sent(RunEnded.class), List.of(), "at " + nowMs);
    }
    host.ownerHeartbeat(SESSION, 16_000, true, 16_000);
    host.onTick(16_100);
    collectEffects(16_100);
    assertEquals(sent(RunEnded.class).size(), 1);
  }

  /**
   * Guards against two runs of one task: a start call without an answer is carried out by a later
   * instance, after the lease of the called one has expired and the run was reported as lost.
   */
  @Test(dataProvider = "lostLists")
  public void anUnansweredStartOutlastsTheLeaseOfAWorkerThatMayRestart(PollResult lost) {
    start(STARTED_AT_MS, 1_005, run(1));
    order(STARTED_AT_MS, 1_010, run(0));
    host.startCallCompleted(instanceId(STARTED_AT_MS), run(0), new StartResult.Unanswered(), 1_030);
    List<RunRef> lostRuns = new ArrayList<>();
    for (long nowMs = 1_050; nowMs < 4_000; nowMs += 50) {
      host.ownerHeartbeat(SESSION, nowMs, true, nowMs);
      host.pollCallCompleted(instanceId(STARTED_AT_MS), lost, nowMs);
      host.onTick(nowMs);
      collectEffects(nowMs);
      sent(RunEnded.class).forEach(ended -> lostRuns.add(ended.run()));
    }
    assertEquals(lostRuns, List.of(run(1)));
    restartWorker(4_000);
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0));
    answerPoll(RESTARTED_AT_MS, 4_001, List.of(run(0)));
    assertEquals(sent(RunEnded.class), List.of());
    answerPoll(RESTARTED_AT_MS, 4_050, List.of(), new PollResult.Ended(1, run(0), RunEnd.STOPPED));
    // The new instance has carried out one of two lost calls.
    assertReportedOnlyAt(1_030 + MAX_CALL_DELAY_MS, 4_100, RunEnd.STOPPED);
  }

  private void loseStartCall(RunRef run) {
    order(STARTED_AT_MS, 1_010, run);
    host.startCallCompleted(instanceId(STARTED_AT_MS), run, new StartResult.Unanswered(), 1_030);
    host.startCallCompleted(instanceId(STARTED_AT_MS), run, new StartResult.Started(501), 1_032);
    collectEffects(1_032);
  }

  /**
   * Guards against two runs of one task: a start call without an answer is carried out by a later
   * instance, after the run that its repetition started has failed and was reported.
   */
  @Test
  public void aFailedRunIsReportedOnceItsLostStartCallCannotStartItAgain() {
    loseStartCall(run(0));
    answerPoll(STARTED_AT_MS, 1_100, List.of(), new PollResult.Ended(1, run(0), RunEnd.FAILED));
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(host.runCount(), 0);
    host.stopRun(SESSION, run(0), 1_200);
    collectEffects(1_200);
    assertReportedOnlyAt(1_030 + MAX_CALL_DELAY_MS, 1_300, RunEnd.FAILED);
  }

  /** Guards against a third instance, which knows no more of the run than the second one did. */
  @Test
  public void aRestartDoesNotReleaseTheReportOfARunWithALostStartCall() {
    loseStartCall(run(0));
    answerPoll(STARTED_AT_MS, 1_100, List.of(), new PollResult.Ended(1, run(0), RunEnd.FAILED));
    restartWorker(1_300);
    answerPoll(RESTARTED_AT_MS, 1_301, List.of());
    assertReportedOnlyAt(1_030 + MAX_CALL_DELAY_MS, 1_400, RunEnd.FAILED);
  }

  @Test
  public void aFinishedRunWithALostStartCallIsReportedAtOnce() {
    loseStartCall(run(0));
    answerPoll(STARTED_AT_MS, 1_100, List.of(), new PollResult.Ended(1, run(0), RunEnd.DONE));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.DONE);
  }

  /** Guards against a run whose end is reported seconds after its lease has expired. */
  @Test(dataProvider = "lostLists")
  public void aStoppedRunWhoseStartWasAnsweredIsOverWithTheLeaseOfItsWorker(PollResult lost) {
    start(STARTED_AT_MS, 1_005, run(0));
    host.stopRun(SESSION, run(0), 1_010);
    List<RunRef> lostRuns = new ArrayList<>();
    for (long nowMs = 1_050; nowMs < 4_000; nowMs += 50) {
      host.ownerHeartbeat(SESSION, nowMs, true, nowMs);
      host.stopCallCompleted(instanceId(STARTED_AT_MS), run(0), false, nowMs);
      host.pollCallCompleted(instanceId(STARTED_AT_MS), lost, nowMs);
      host.onTick(nowMs);
      collectEffects(nowMs);
      sent(RunEnded.class).forEach(ended -> lostRuns.add(ended.run()));
    }
    assertEquals(lostRuns, List.of(run(0)));
  }

  /** The answer to its start call may still be missing when the stop is sent. */
  @Test(dataProvider = "lostLists")
  public void aStoppedRunWhoseStartIsPendingOutlastsTheLeaseOfItsWorker(PollResult lost) {
    order(STARTED_AT_MS, 1_005, run(0));
    host.stopRun(SESSION, run(0), 1_010);
    for (long nowMs = 1_050; nowMs < 4_000; nowMs += 50) {
      host.ownerHeartbeat(SESSION, nowMs, true, nowMs);
      host.stopCallCompleted(instanceId(STARTED_AT_MS), run(0), false, nowMs);
      host.pollCallCompleted(instanceId(STARTED_AT_MS), lost, nowMs);
      host.onTick(nowMs);
      collectEffects(nowMs);
      assertEquals(sent(RunEnded.class), List.of());
    }
  }

  /** Guards against two runs: the new instance cut the deadline to the longest lease it grants. */
  @Test(dataProvider = "lostLists")
  public void aStartAnsweredByAnInstanceWithANewClockMayHaveTheLongestLease(PollResult lost) {
    fixture = HostFixture.startedLongBefore(1_000);
    host = fixture.host;
    WorkerInfo info =
        new WorkerInfo(
            "w", "s", "10.0.0.1:1", "z", false, CAPACITY, List.of(), 1, 600_000, STARTED_AT_MS);
    host.workerHeartbeat(info, 1_000);
    host.sessionOpened(SESSION, "o", 1_000);
    answerPoll(STARTED_AT_MS, 1_000, List.of());
    order(STARTED_AT_MS, 1_005, run(0));
    host.startCallCompleted(instanceId(STARTED_AT_MS), run(0), new StartResult.Started(700), 1_010);
    long overAtMs = 1_010 + HostFixture.TIMING.longestWorkerRunsOverAfterMs();
    for (long nowMs = 1_050; nowMs < overAtMs; nowMs += 10) {
      host.ownerHeartbeat(SESSION, nowMs, true, nowMs);
      host.pollCallCompleted(instanceId(STARTED_AT_MS), lost, nowMs);
      host.onTick(nowMs);
      collectEffects(nowMs);
      assertEquals(sent(RunEnded.class), List.of(), "at " + nowMs);
    }
  }

  @DataProvider
  public Object[][] lostLists() {
    return new Object[][] {{new PollResult.Unanswered()}, {new PollResult.ConnectionRefused()}};
  }

  @Test
  public void aStartToTheFormerInstanceIsNotOverWhileItsStopIsUnanswered() {
    order(STARTED_AT_MS, 1_010, run(0));
    answerPollAs(STARTED_AT_MS, RESTARTED_AT_MS, 1_040, List.of());
    answerPoll(RESTARTED_AT_MS, 1_046, List.of());
    host.ownerHeartbeat(SESSION, 2_000, true, 2_000);
    answerPoll(RESTARTED_AT_MS, 2_010, List.of());
    answerPoll(RESTARTED_AT_MS, 2_020, List.of());
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(host.runCount(), 1);
  }

  @Test
  public void aRunStartedAtTheNewInstanceByAnEarlierCallIsStopped() {
    order(STARTED_AT_MS, 1_010, run(0));
    answerPollAs(STARTED_AT_MS, RESTARTED_AT_MS, 1_040, List.of(run(0)));
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0));
    assertEquals(sent(RunEnded.class), List.of());
    answerPoll(RESTARTED_AT_MS, 1_090, List.of(), new PollResult.Ended(1, run(0), RunEnd.STOPPED));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.STOPPED);
  }

  @Test
  public void aWorkerMayRestartTwiceWithinASecond() {
    start(STARTED_AT_MS, 1_010, run(0));
    restartWorker(1_100);
    host.workerHeartbeat(heartbeat(RESTARTED_AT_MS + 400, false, 1), 1_500);
    collectEffects(1_500);
    host.workerHeartbeat(heartbeat(RESTARTED_AT_MS, false, 2), 1_510);
    collectEffects(1_510);
    assertEquals(host.workerCount(), 1);
    answerPoll(RESTARTED_AT_MS + 400, 1_511, List.of());
    order(RESTARTED_AT_MS + 400, 1_520, run(1));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void aListWithoutAStartTimeIsIgnored() {
    start(STARTED_AT_MS, 1_010, run(0));
    answerPollAs(STARTED_AT_MS, 0, 1_040, List.of(), new PollResult.Ended(1, run(0), RunEnd.DONE));
    assertEquals(sent(RunEnded.class), List.of());
  }

  @Test
  public void ownersSeeTheNewInstanceAsAnotherWorker() {
    restartWorker(1_100);
    answerPoll(RESTARTED_AT_MS, 1_101, List.of());
    host.sessionResumed(SESSION, 1_102);
    collectEffects(1_102);
    var row = sent(HostRows.class).getLast().workers().getFirst();
    assertEquals(row.workerId(), instanceId(RESTARTED_AT_MS));
    assertEquals(row.state(), WorkerState.READY);
  }
}
