package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.WorkerCrashed;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A worker crashes, perhaps for a task that it runs; every owner is told which tasks were there.
 */
public final class WorkerCrashTest {
  private static final Room CAPACITY = new Room(8_000, 1_000, 0);
  private static final RunRef ONE = new RunRef("j.0.0", 1);
  private static final RunRef TWO = new RunRef("j.0.1", 1);

  private HostFixture fixture;
  private WorkerHost host;

  @BeforeMethod
  public void open() {
    fixture = HostFixture.startedBefore(1_000);
    host = fixture.host;
    host.sessionOpened(1, "o1", 1_000);
    host.sessionOpened(2, "o2", 1_000);
    worker("w", 1_000);
  }

  private void worker(String id, long nowMs) {
    host.workerHeartbeat(HostFixture.worker(id, CAPACITY, 9), nowMs);
    fixture.answerPoll(id, nowMs, List.of());
  }

  private void run(String worker, RunRef run, long nowMs) {
    host.ownerHeartbeat(1, nowMs, true, nowMs);
    fixture.start(1, worker, nowMs, run);
  }

  private void crash(String worker, long nowMs) {
    host.pollCallCompleted(worker, new PollResult.OtherInstance(), nowMs);
    fixture.collectEffects(nowMs);
  }

  private List<WorkerCrashed> sent(long session) {
    return fixture.sent(session, WorkerCrashed.class);
  }

  @Test
  public void everyOwnerHearsOfTheTasksThatWereThere() {
    run("w", ONE, 1_010);
    run("w", TWO, 1_020);
    crash("w", 1_030);
    WorkerCrashed news = new WorkerCrashed("w", 0, false, List.of(ONE.task(), TWO.task()));
    assertEquals(sent(1), List.of(news));
    assertEquals(sent(2), List.of(news));
  }

  @Test
  public void anOwnerThatComesLaterHearsOfItAsWell() {
    run("w", ONE, 1_010);
    crash("w", 1_030);
    host.sessionOpened(3, "o3", 2_030);
    fixture.collectEffects(2_030);
    assertEquals(sent(3), List.of(new WorkerCrashed("w", 1_000, false, List.of(ONE.task()))));
  }

  @Test
  public void aWorkerThatTookItsLeaveDidNotCrash() {
    run("w", ONE, 1_010);
    host.workerLeaves("w");
    crash("w", 1_030);
    assertEquals(sent(1), List.of());
  }

  @Test
  public void aWorkerThatRanNothingSaysNothingOfTasks() {
    crash("w", 1_030);
    assertEquals(sent(1), List.of());
  }

  @Test
  public void oneThatCrashesAgainUnderOtherTasksIsSaidToDoSo() {
    run("w", ONE, 1_010);
    crash("w", 1_030);
    worker("w2", 2_000);
    run("w2", TWO, 2_010);
    crash("w2", 2_020);
    assertEquals(sent(1).getFirst().again(), true);
    worker("w3", 3_000);
    run("w3", TWO, 3_010);
    crash("w3", 3_020);
    assertEquals(sent(1).getFirst().again(), false);
  }
}
