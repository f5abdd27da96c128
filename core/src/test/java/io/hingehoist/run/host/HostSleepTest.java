package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Message;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.message.SessionProbe;
import io.hingehoist.message.SessionProof;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests a host whose box sleeps for seconds. The monotonic clock stops during the sleep, so the
 * leases of its owners seem valid although the owners have started the tasks elsewhere.
 */
public final class HostSleepTest {
  private static final Room CAPACITY = new Room(4_000, 1_000, 0);
  private static final long SESSION = HostFixture.SESSION;
  private static final RunRef RUNNING = new RunRef("j.0.0", 1);
  private static final RunRef ORDERED = new RunRef("j.0.1", 1);

  private HostFixture fixture;
  private WorkerHost host;

  @BeforeMethod
  public void sleepWithARun() {
    fixture = HostFixture.startedLongBefore(1_000);
    host = fixture.host;
    host.workerHeartbeat(HostFixture.worker("w", CAPACITY, 1), 1_000);
    host.sessionOpened(SESSION, "o", 1_000);
    fixture.answerPoll("w", 1_000, List.of());
    fixture.start(SESSION, "w", 1_010, RUNNING);
    host.mayHaveSlept(4_000, 1_020);
    fixture.collectEffects(1_020);
  }

  private void start(long nowMs, RunRef run) {
    fixture.order(SESSION, "w", nowMs, run);
  }

  private <M extends Message> List<M> sent(Class<M> type) {
    return fixture.sent(type);
  }

  private long count(Class<? extends HostEffect> type) {
    return fixture.all(type).size();
  }

  private long probeNumber() {
    return sent(SessionProbe.class).getFirst().number();
  }

  @Test
  public void nothingStartsUntilTheOwnerAnswersTheProbe() {
    long probeNumber = probeNumber();
    start(1_021, ORDERED);
    assertEquals(count(HostEffect.StartCall.class), 0);
    assertEquals(sent(RunNotStarted.class).getFirst().reason(), RunRefusal.NOT_READY);
    host.proofReceived(SESSION, probeNumber, 1_024, 1_024);
    start(1_025, new RunRef("j.0.1", 2));
    assertEquals(count(HostEffect.StartCall.class), 1);
  }

  @Test
  public void aHeartbeatReceivedDuringTheSleepDoesNotRenewTheLease() {
    host.ownerHeartbeat(SESSION, 1_015, true, 1_021);
    start(1_022, ORDERED);
    assertEquals(count(HostEffect.StartCall.class), 0);
  }

  @Test
  public void aStartCallIsNotRepeatedAfterASleep() {
    long probeNumber = probeNumber();
    host.proofReceived(SESSION, probeNumber, 1_024, 1_024);
    start(1_025, ORDERED);
    host.mayHaveSlept(4_000, 1_030);
    host.startCallCompleted("w", ORDERED, new StartResult.Unanswered(), 1_031);
    fixture.collectEffects(1_031);
    assertEquals(count(HostEffect.StartCall.class), 0);
    assertEquals(count(HostEffect.StopCall.class), 1);
  }

  @Test
  public void theRunsOfAnOwnerThatDoesNotAnswerTheProbeAreStopped() {
    host.onTick(1_200);
    fixture.collectEffects(1_200);
    assertEquals(count(HostEffect.CloseSession.class), 0);
    host.onTick(1_320);
    fixture.collectEffects(1_320);
    assertEquals(count(HostEffect.CloseSession.class), 1);
    assertEquals(count(HostEffect.StopCall.class), 1);
  }

  /** Guards against runs that continue for as long as the box falls asleep again and again. */
  @Test
  public void furtherSleepsDoNotDelayTheEndOfAnUnverifiedSession() {
    for (long nowMs = 1_120; nowMs <= 1_320; nowMs += 100) {
      host.mayHaveSlept(100, nowMs);
    }
    host.onTick(1_320);
    fixture.collectEffects(1_320);
    assertEquals(count(HostEffect.CloseSession.class), 1);
    assertEquals(count(HostEffect.StopCall.class), 1);
  }

  @Test
  public void anAnswerToAnEarlierProbeProvesNothing() {
    host.proofReceived(SESSION, probeNumber() - 1, 1_021, 1_021);
    start(1_022, ORDERED);
    assertEquals(count(HostEffect.StartCall.class), 0);
  }

  @Test
  public void aHostWithUnverifiedSessionsAnswersNoProbes() {
    host.probeReceived(SESSION, 5, 1_021);
    fixture.collectEffects(1_021);
    assertEquals(sent(SessionProof.class), List.of());
  }

  @Test
  public void aHeartbeatDelayedAfterTheProofDoesNotExtendTheLease() {
    host.proofReceived(SESSION, probeNumber(), 5_024, 1_024);
    host.mayHaveSlept(2_000, 1_030);
    fixture.collectEffects(1_030);
    host.proofReceived(SESSION, probeNumber(), 7_034, 1_034);
    // Sent 50 ms after the proof, 2,000 ms in transit.
    host.ownerHeartbeat(SESSION, 7_084, true, 3_084);
    start(3_084, ORDERED);
    assertEquals(count(HostEffect.StartCall.class), 0);
  }

  private long renewedLeaseDeadlineMs(long nowMs, List<RunRef> running) {
    fixture.answerPoll("w", nowMs, running);
    return fixture.all(HostEffect.PollCall.class).getFirst().deadlineMs();
  }

  @Test
  public void theLeaseOfAWorkerIsNotRenewedForAnOwnerThatIsUnverified() {
    long probeNumber = probeNumber();
    assertEquals(renewedLeaseDeadlineMs(1_025, List.of(RUNNING)), 0);
    host.proofReceived(SESSION, probeNumber, 1_027, 1_027);
    assertTrue(renewedLeaseDeadlineMs(1_075, List.of(RUNNING)) > 0);
  }

  @Test
  public void aStoppedRunIsNotKeptAliveForLongerByASleep() {
    long otherSession = SESSION + 1;
    RunRef other = new RunRef("k.0.0", 1);
    host.proofReceived(SESSION, probeNumber(), 1_024, 1_024);
    host.sessionOpened(otherSession, "p", 1_025);
    fixture.start(otherSession, "w", 1_026, other);
    host.sessionEnded(SESSION, "closed", 1_030);
    host.stopCallCompleted("w", RUNNING, false, 1_040);
    host.mayHaveSlept(800, 1_050);
    fixture.collectEffects(1_050);
    long probeNumber = fixture.sent(otherSession, SessionProbe.class).getFirst().number();
    host.proofReceived(otherSession, probeNumber, 1_052, 1_052);
    long mustEndByMs = 1_030 + HostFixture.TIMING.workerRunsOverAfterMs() - 800;
    long deadlineMs = renewedLeaseDeadlineMs(1_055, List.of(RUNNING, other));
    assertTrue(deadlineMs <= PollResults.clockMs(mustEndByMs), "deadline " + deadlineMs);
    fixture.order(otherSession, "w", 1_056, new RunRef("k.0.1", 1));
    assertEquals(count(HostEffect.StartCall.class), 0);
  }
}
