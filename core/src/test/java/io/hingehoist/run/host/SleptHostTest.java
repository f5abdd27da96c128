package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

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
 * A host's box sleeps for seconds and wakes: its steady clock stood, so that the leases of its
 * owners seem fresh, though these have started the tasks elsewhere.
 */
public final class SleptHostTest {
  private static final Room CAPACITY = new Room(4_000, 1_000, 0);
  private static final long SESSION = HostFixture.SESSION;
  private static final RunRef RUNS = new RunRef("j.0.0", 1);
  private static final RunRef ORDERED = new RunRef("j.0.1", 1);

  private HostFixture played;
  private WorkerHost host;

  @BeforeMethod
  public void sleepWhileSomethingRuns() {
    played = HostFixture.startedBefore(1_000);
    host = played.host;
    host.workerSeen(HostFixture.worker("w", CAPACITY, 1), 1_000);
    host.sessionBegan(SESSION, "o", 1_000);
    played.list("w", 1_000, List.of());
    played.start(SESSION, "w", 1_010, RUNS);
    host.mayHaveSlept(4_000, 1_020);
    played.settle(1_020);
  }

  private void start(long nowMs, RunRef run) {
    played.order(SESSION, "w", nowMs, run);
  }

  private <M extends Message> List<M> told(Class<M> type) {
    return played.told(type);
  }

  private long count(Class<? extends HostEffect> type) {
    return played.all(type).size();
  }

  private long probe() {
    return told(SessionProbe.class).getFirst().number();
  }

  @Test
  public void itStartsNothingUntilItsOwnerAnswers() {
    long probe = probe();
    start(1_021, ORDERED);
    assertEquals(count(HostEffect.CallStart.class), 0);
    assertEquals(told(RunNotStarted.class).getFirst().reason(), RunRefusal.NOT_READY);
    host.sessionProven(SESSION, probe, 1_024, 1_024);
    start(1_025, new RunRef("j.0.1", 2));
    assertEquals(count(HostEffect.CallStart.class), 1);
  }

  @Test
  public void aHeartbeatThatCameWhileItSleptRenewsNothing() {
    host.ownerBeat(SESSION, 1_015, true, 1_021);
    start(1_022, ORDERED);
    assertEquals(count(HostEffect.CallStart.class), 0);
  }

  @Test
  public void anOrderIsNotRepeatedAfterASleep() {
    long probe = probe();
    host.sessionProven(SESSION, probe, 1_024, 1_024);
    start(1_025, ORDERED);
    host.mayHaveSlept(4_000, 1_030);
    host.startAnswered("w", ORDERED, new StartAnswer.Unanswered(), 1_031);
    played.settle(1_031);
    assertEquals(count(HostEffect.CallStart.class), 0);
    assertEquals(count(HostEffect.CallStop.class), 1);
  }

  @Test
  public void theRunsOfAnOwnerThatDoesNotAnswerAreStopped() {
    host.onTick(1_200);
    played.settle(1_200);
    assertEquals(count(HostEffect.CloseSession.class), 0);
    host.onTick(1_320);
    played.settle(1_320);
    assertEquals(count(HostEffect.CloseSession.class), 1);
    assertEquals(count(HostEffect.CallStop.class), 1);
  }

  @Test
  public void anAnswerToAnEarlierProbeProvesNothing() {
    host.sessionProven(SESSION, probe() - 1, 1_021, 1_021);
    start(1_022, ORDERED);
    assertEquals(count(HostEffect.CallStart.class), 0);
  }

  @Test
  public void itProvesNothingToOthersWhileItDoubtsItself() {
    host.sessionProbed(SESSION, 5, 1_021);
    played.settle(1_021);
    assertEquals(told(SessionProof.class), List.of());
  }
}
