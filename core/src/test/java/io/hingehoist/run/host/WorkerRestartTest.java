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
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A worker crashes and starts again under its name, at its address: it holds nothing of before, and
 * its counts begin anew. A host that knows lives by their names only passes over its heartbeats as
 * older ones, and takes its first ends for ends that it has seen.
 */
public final class WorkerRestartTest {
  private static final Room CAPACITY = new Room(4_000, 1_000, 0);
  private static final long SESSION = HostFixture.SESSION;
  private static final long BORN_MS = 1_700_000_000_000L;
  private static final long AGAIN_MS = BORN_MS + 5_000;

  private HostFixture fixture;
  private WorkerHost host;

  private static WorkerInfo account(long startedAtEpochMs, boolean draining, long version) {
    return new WorkerInfo(
        "w", "s", "10.0.0.1:1", "z", draining, CAPACITY, List.of(), version, 500, startedAtEpochMs);
  }

  private static String instance(long startedAtEpochMs) {
    return account(startedAtEpochMs, false, 1).instanceId();
  }

  private static RunRef run(int index) {
    return new RunRef("j.0." + index, 1);
  }

  @BeforeMethod
  public void open() {
    fixture = HostFixture.startedBefore(1_000);
    host = fixture.host;
    host.workerHeartbeat(account(BORN_MS, false, 40), 1_000);
    host.sessionOpened(SESSION, "o", 1_000);
    answerPoll(BORN_MS, 1_000, List.of());
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
    answer(startedAtEpochMs, startedAtEpochMs, nowMs, running, ended);
  }

  /** Answers a call that was meant for one life as another. */
  private void answer(
      long meantMs,
      long startedAtEpochMs,
      long nowMs,
      List<RunRef> running,
      PollResult.Ended... ended) {
    List<PollResult.Running> rows =
        running.stream().map(run -> new PollResult.Running(run, 0)).toList();
    host.pollCallCompleted(
        instance(meantMs),
        new PollResult.Listed(500, startedAtEpochMs, rows, List.of(ended)),
        nowMs);
    collectEffects(nowMs);
  }

  private void order(long startedAtEpochMs, long nowMs, RunRef run) {
    fixture.order(SESSION, instance(startedAtEpochMs), nowMs, run);
  }

  private void start(long startedAtEpochMs, long nowMs, RunRef run) {
    fixture.start(SESSION, instance(startedAtEpochMs), nowMs, run);
  }

  private void restartWorker(long nowMs) {
    host.workerHeartbeat(account(AGAIN_MS, false, 1), nowMs);
    collectEffects(nowMs);
  }

  @Test
  public void itsFirstHeartbeatEndsTheRunsOfTheEarlierLife() {
    start(BORN_MS, 1_010, run(0));
    restartWorker(1_100);
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.LOST);
    assertEquals(host.workerCount(), 1);
    HostEffect.PollCall hold = all(HostEffect.PollCall.class).getFirst();
    assertEquals(hold.workerId(), "w");
    assertEquals(hold.lastSeen(), 0);
  }

  @Test
  public void itsFirstEndsAreNotTakenForOnesThatWereSeen() {
    answerPoll(BORN_MS, 1_005, List.of(), new PollResult.Ended(57, run(9), RunEnd.DONE));
    restartWorker(1_100);
    answerPoll(AGAIN_MS, 1_101, List.of());
    start(AGAIN_MS, 1_110, run(0));
    answerPoll(AGAIN_MS, 1_150, List.of(), new PollResult.Ended(1, run(0), RunEnd.DONE));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.DONE);
  }

  @Test
  public void aLateHeartbeatOfTheEarlierLifeIsVoid() {
    restartWorker(1_100);
    answerPoll(AGAIN_MS, 1_101, List.of());
    start(AGAIN_MS, 1_110, run(0));
    host.workerHeartbeat(account(BORN_MS, true, 41), 1_120);
    collectEffects(1_120);
    assertEquals(sent(RunEnded.class), List.of());
    order(AGAIN_MS, 1_121, run(1));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void aHeartbeatThatTellsNoBirthIsOfAnotherWriter() {
    host.workerHeartbeat(account(0, true, 99), 1_010);
    collectEffects(1_010);
    order(BORN_MS, 1_011, run(0));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void aListOfTheLaterLifeEndsTheRunsOfTheEarlier() {
    start(BORN_MS, 1_010, run(0));
    answer(BORN_MS, AGAIN_MS, 1_040, List.of());
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.LOST);
    assertEquals(host.workerCount(), 1);
    // Only a list that brought the higher token shows that no order of before can still come.
    order(AGAIN_MS, 1_041, run(1));
    assertEquals(all(HostEffect.StartCall.class), List.of());
    answerPoll(AGAIN_MS, 1_042, List.of());
    order(AGAIN_MS, 1_050, run(2));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void anOrderWithoutAnAnswerIsBarredAtTheLaterLifeBeforeItIsOver() {
    order(BORN_MS, 1_010, run(0));
    long before = all(HostEffect.StartCall.class).getFirst().token();
    answer(BORN_MS, AGAIN_MS, 1_040, List.of());
    assertEquals(sent(RunEnded.class), List.of());
    HostEffect.StopCall stop = all(HostEffect.StopCall.class).getFirst();
    assertEquals(stop.instanceId(), instance(AGAIN_MS));
    assertTrue(stop.token() > before, "an order of before must be refused by its token");
    host.stopCallCompleted(instance(AGAIN_MS), run(0), true, 1_045);
    collectEffects(1_045);
    answerPoll(AGAIN_MS, 1_046, List.of());
    host.onTick(1_100);
    collectEffects(1_100);
    answerPoll(AGAIN_MS, 1_101, List.of());
    answerPoll(AGAIN_MS, 1_110, List.of());
    assertEquals(sent(RunEnded.class).size(), 1);
  }

  /** The later life carried out a start call that was lost before a repeat of it was answered. */
  @Test
  public void aLostCallOfARunThatBeganIsBarredAtTheLaterLife() {
    order(BORN_MS, 1_010, run(0));
    host.startCallCompleted(instance(BORN_MS), run(0), new StartResult.Unanswered(), 1_030);
    host.startCallCompleted(instance(BORN_MS), run(0), new StartResult.Started(501), 1_032);
    collectEffects(1_032);
    answer(BORN_MS, AGAIN_MS, 1_040, List.of());
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(all(HostEffect.StopCall.class).getFirst().instanceId(), instance(AGAIN_MS));
  }

  /** An order of an earlier life was reported as lost though its number was not barred. */
  @Test(dataProvider = "lostLists")
  public void anOrderOfAnEarlierLifeOutlastsTheLeaseOfTheLater(PollResult lost) {
    order(BORN_MS, 1_010, run(0));
    answer(BORN_MS, AGAIN_MS, 1_040, List.of());
    answerPoll(AGAIN_MS, 1_046, List.of());
    for (long nowMs = 1_100; nowMs < 2_600; nowMs += 50) {
      host.ownerHeartbeat(SESSION, nowMs, true, nowMs);
      host.pollCallCompleted(instance(AGAIN_MS), lost, nowMs);
      host.onTick(nowMs);
      collectEffects(nowMs);
      assertEquals(sent(RunEnded.class), List.of(), "at " + nowMs);
    }
    host.ownerHeartbeat(SESSION, 16_000, true, 16_000);
    host.onTick(16_100);
    collectEffects(16_100);
    assertEquals(sent(RunEnded.class).size(), 1);
  }

  @DataProvider
  public Object[][] lostLists() {
    return new Object[][] {{new PollResult.Unanswered()}, {new PollResult.ConnectionRefused()}};
  }

  @Test
  public void anOrderOfAnEarlierLifeIsNotOverWhileItsStopHasNoAnswer() {
    order(BORN_MS, 1_010, run(0));
    answer(BORN_MS, AGAIN_MS, 1_040, List.of());
    answerPoll(AGAIN_MS, 1_046, List.of());
    host.ownerHeartbeat(SESSION, 2_000, true, 2_000);
    answerPoll(AGAIN_MS, 2_010, List.of());
    answerPoll(AGAIN_MS, 2_020, List.of());
    assertEquals(sent(RunEnded.class), List.of());
    assertEquals(host.runCount(), 1);
  }

  @Test
  public void whatTheLaterLifeRunsOnAnEarlierOrderIsStopped() {
    order(BORN_MS, 1_010, run(0));
    answer(BORN_MS, AGAIN_MS, 1_040, List.of(run(0)));
    assertEquals(all(HostEffect.StopCall.class).getFirst().run(), run(0));
    assertEquals(sent(RunEnded.class), List.of());
    answerPoll(AGAIN_MS, 1_090, List.of(), new PollResult.Ended(1, run(0), RunEnd.STOPPED));
    assertEquals(sent(RunEnded.class).getFirst().end(), RunEnd.STOPPED);
  }

  @Test
  public void itMayStartAgainTwiceWithinASecond() {
    start(BORN_MS, 1_010, run(0));
    restartWorker(1_100);
    host.workerHeartbeat(account(AGAIN_MS + 400, false, 1), 1_500);
    collectEffects(1_500);
    host.workerHeartbeat(account(AGAIN_MS, false, 2), 1_510);
    collectEffects(1_510);
    assertEquals(host.workerCount(), 1);
    answerPoll(AGAIN_MS + 400, 1_511, List.of());
    order(AGAIN_MS + 400, 1_520, run(1));
    assertEquals(all(HostEffect.StartCall.class).size(), 1);
  }

  @Test
  public void aListThatTellsNoBirthIsNotTheWorkers() {
    start(BORN_MS, 1_010, run(0));
    answer(BORN_MS, 0, 1_040, List.of(), new PollResult.Ended(1, run(0), RunEnd.DONE));
    assertEquals(sent(RunEnded.class), List.of());
  }

  @Test
  public void ownersSeeTheLaterLifeAsAnotherWorker() {
    restartWorker(1_100);
    answerPoll(AGAIN_MS, 1_101, List.of());
    host.sessionResumed(SESSION, 1_102);
    collectEffects(1_102);
    var row = sent(HostRows.class).getLast().workers().getFirst();
    assertEquals(row.workerId(), instance(AGAIN_MS));
    assertEquals(row.state(), WorkerState.READY);
  }
}
