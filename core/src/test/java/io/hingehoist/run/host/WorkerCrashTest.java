package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.WorkerCrashed;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests a worker that crashes, possibly because of one of its tasks: every owner is informed of the
 * tasks that were running.
 */
public final class WorkerCrashTest {
  private static final Room CAPACITY = new Room(8_000, 1_000, 0);
  private static final RunRef FIRST_RUN = new RunRef("j.0.0", 1);
  private static final RunRef SECOND_RUN = new RunRef("j.0.1", 1);

  private HostFixture fixture;
  private WorkerHost host;

  @BeforeMethod
  public void createWorkerAndSessions() {
    fixture = HostFixture.startedLongBefore(1_000);
    host = fixture.host;
    host.sessionOpened(1, "o1", 1_000);
    host.sessionOpened(2, "o2", 1_000);
    addWorker("w", 1_000);
  }

  private void addWorker(String id, long nowMs) {
    host.workerHeartbeat(HostFixture.worker(id, CAPACITY, 9), nowMs);
    fixture.answerPoll(id, nowMs, List.of());
  }

  private void startRun(String worker, RunRef run, long nowMs) {
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
  public void everyOwnerIsInformedOfTheRunningTasks() {
    startRun("w", FIRST_RUN, 1_010);
    startRun("w", SECOND_RUN, 1_020);
    crash("w", 1_030);
    WorkerCrashed report =
        new WorkerCrashed("w", 0, false, List.of(FIRST_RUN.task(), SECOND_RUN.task()));
    assertEquals(sent(1), List.of(report));
    assertEquals(sent(2), List.of(report));
  }

  @Test
  public void anOwnerThatConnectsLaterIsInformedAsWell() {
    startRun("w", FIRST_RUN, 1_010);
    crash("w", 1_030);
    host.sessionOpened(3, "o3", 2_030);
    fixture.collectEffects(2_030);
    assertEquals(sent(3), List.of(new WorkerCrashed("w", 1_000, false, List.of(FIRST_RUN.task()))));
  }

  @Test
  public void aWorkerThatAnnouncedItsEndIsNotReportedAsCrashed() {
    startRun("w", FIRST_RUN, 1_010);
    host.workerLeaves("w");
    crash("w", 1_030);
    assertEquals(sent(1), List.of());
  }

  @Test
  public void aCrashWithoutRunsIsNotReported() {
    crash("w", 1_030);
    assertEquals(sent(1), List.of());
  }

  @Test
  public void aCrashWithDifferentTasksThanTheLastIsMarkedAsRepeated() {
    startRun("w", FIRST_RUN, 1_010);
    crash("w", 1_030);
    addWorker("w2", 2_000);
    startRun("w2", SECOND_RUN, 2_010);
    crash("w2", 2_020);
    assertEquals(sent(1).getFirst().again(), true);
    addWorker("w3", 3_000);
    startRun("w3", SECOND_RUN, 3_010);
    crash("w3", 3_020);
    assertEquals(sent(1).getFirst().again(), false);
  }
}
