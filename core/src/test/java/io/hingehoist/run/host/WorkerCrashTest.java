package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.Message;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.WorkerCrashed;
import io.hingehoist.run.RunTiming;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A worker crashes, perhaps for a task that it runs; every owner is told which tasks were there.
 */
public final class WorkerCrashTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final Room CAPACITY = new Room(8_000, 1_000, 0);
  private static final Room NEED = new Room(1_000, 10, 0);
  private static final RunRef ONE = new RunRef("j.0.0", 1);
  private static final RunRef TWO = new RunRef("j.0.1", 1);

  private final List<HostEffect> effects = new ArrayList<>();
  private WorkerHost host;
  private long order;

  @BeforeMethod
  public void open() {
    long quietMs = TIMING.workerOverAfterMs();
    host = KnownZones.none(WorkerHost.create("h", 1, "z", TIMING, 100, 1_000 - quietMs));
    host.sessionBegan(1, "o1", 1_000);
    host.sessionBegan(2, "o2", 1_000);
    worker("w", false, 1_000);
  }

  private void worker(String id, boolean draining, long nowMs) {
    host.workerSeen(
        new WorkerInfo(id, "s", "10.0.0.1:1", "z", draining, CAPACITY, List.of(), 9, 500), nowMs);
    host.holdAnswered(id, HoldAnswers.listed(nowMs, List.of()), nowMs);
    settle(nowMs);
  }

  private void settle(long nowMs) {
    host.showRows(nowMs);
    effects.clear();
    effects.addAll(host.takeEffects());
  }

  private void run(String worker, RunRef run, long nowMs) {
    host.ownerBeat(1, nowMs, true, nowMs);
    host.startRuns(1, new StartRuns(++order, worker, "j", "", 100, NEED, List.of(run)), nowMs);
    host.startAnswered(worker, run, new StartAnswer.Started(501), nowMs);
    settle(nowMs);
  }

  private void crash(String worker, long nowMs) {
    host.holdAnswered(worker, new HoldAnswer.Gone(), nowMs);
    settle(nowMs);
  }

  private List<WorkerCrashed> told(long session) {
    List<WorkerCrashed> told = new ArrayList<>();
    for (HostEffect effect : effects) {
      if (effect instanceof HostEffect.ToOwner to && to.sessionId() == session) {
        Message message = to.message();
        if (message instanceof WorkerCrashed crashed) {
          told.add(crashed);
        }
      }
    }
    return told;
  }

  @Test
  public void everyOwnerHearsOfTheTasksThatWereThere() {
    run("w", ONE, 1_010);
    run("w", TWO, 1_020);
    crash("w", 1_030);
    WorkerCrashed news = new WorkerCrashed("w", 0, false, List.of(ONE.task(), TWO.task()));
    assertEquals(told(1), List.of(news));
    assertEquals(told(2), List.of(news));
  }

  @Test
  public void anOwnerThatComesLaterHearsOfItAsWell() {
    run("w", ONE, 1_010);
    crash("w", 1_030);
    host.sessionBegan(3, "o3", 2_030);
    settle(2_030);
    assertEquals(told(3), List.of(new WorkerCrashed("w", 1_000, false, List.of(ONE.task()))));
  }

  @Test
  public void aWorkerThatTookItsLeaveDidNotCrash() {
    run("w", ONE, 1_010);
    host.workerLeaves("w");
    crash("w", 1_030);
    assertEquals(told(1), List.of());
  }

  @Test
  public void aWorkerThatRanNothingSaysNothingOfTasks() {
    crash("w", 1_030);
    assertEquals(told(1), List.of());
  }

  @Test
  public void oneThatCrashesAgainUnderOtherTasksIsSaidToDoSo() {
    run("w", ONE, 1_010);
    crash("w", 1_030);
    worker("w2", false, 2_000);
    run("w2", TWO, 2_010);
    crash("w2", 2_020);
    assertEquals(told(1).getFirst().again(), true);
    worker("w3", false, 3_000);
    run("w3", TWO, 3_010);
    crash("w3", 3_020);
    assertEquals(told(1).getFirst().again(), false);
  }
}
