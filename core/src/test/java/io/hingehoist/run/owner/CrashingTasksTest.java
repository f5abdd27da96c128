package io.hingehoist.run.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.WorkerCrashed;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import io.hingehoist.run.JobEnd;
import io.hingehoist.run.JobPlan;
import io.hingehoist.run.RunTiming;
import io.hingehoist.run.StepPlan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against tasks that crash each worker that starts them. Without a limit on retries, one
 * such task crashes one worker after another, along with all other runs there.
 */
public final class CrashingTasksTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final Room CAPACITY = new Room(8_000, 8_000, 0);
  private static final Room NEED = new Room(1_000, 10, 0);

  private final List<OwnerEffect> effects = new ArrayList<>();
  private final Map<String, String> hostByTask = new HashMap<>();
  private final Map<String, RunRef> runs = new HashMap<>();
  private JobOwner owner;

  @BeforeMethod
  public void setUp() {
    owner = JobOwner.create(TIMING);
    hostByTask.clear();
    runs.clear();
    for (int i = 1; i <= 6; i++) {
      owner.sessionOpened("h" + i, "z", 1, true);
      sendRows("h" + i, 0);
    }
    collectEffects(0);
  }

  private void sendRows(String host, long nowMs) {
    WorkerRow row =
        new WorkerRow(host + "-w", "s", "z", List.of(), CAPACITY, CAPACITY, WorkerState.READY, 0);
    owner.hostRowsReceived(host, new HostRows(100, List.of(row)), nowMs);
  }

  private void submit(String id, int tasks, long nowMs) {
    StepPlan step = StepPlan.of(tasks, NEED, 100);
    owner.submit(new JobPlan(id, "q", "s", "", 0, 9, 3_000, 9_000, List.of(step)), nowMs);
    collectEffects(nowMs);
  }

  private void collectEffects(long nowMs) {
    owner.place(nowMs);
    effects.clear();
    effects.addAll(owner.drainEffects());
    for (OwnerEffect effect : effects) {
      if (effect instanceof OwnerEffect.SendToHost to && to.message() instanceof StartRuns order) {
        for (RunRef run : order.runs()) {
          hostByTask.put(run.task(), to.hostId());
          runs.put(run.task(), run);
        }
      }
    }
  }

  /** Crashes the worker that runs a task, along with its other runs. */
  private void crashWorkerOf(String task, long nowMs) {
    crashWorkerAt(hostByTask.get(task), false, nowMs);
  }

  private void crashWorkerAt(String host, boolean repeated, long nowMs) {
    List<String> affected =
        hostByTask.entrySet().stream()
            .filter(entry -> entry.getValue().equals(host))
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    owner.workerCrashed(new WorkerCrashed(host + "-w" + nowMs, 0, repeated, affected), nowMs);
    for (String task : affected) {
      hostByTask.remove(task);
      owner.runEnded(host, new RunEnded(runs.get(task), RunEnd.LOST, 1), nowMs);
    }
    sendRows(host, nowMs);
    collectEffects(nowMs);
  }

  private List<JobEnd> ends() {
    return effects.stream()
        .filter(OwnerEffect.AnswerJob.class::isInstance)
        .map(effect -> ((OwnerEffect.AnswerJob) effect).end())
        .toList();
  }

  @Test
  public void aTaskThatCrashedTwoWorkersIsNotStartedAThirdTime() {
    submit("j", 1, 0);
    crashWorkerOf("j.0.0", 1_000);
    assertTrue(hostByTask.containsKey("j.0.0"), "a single crash is not enough to fail a task");
    crashWorkerOf("j.0.0", 3_000);
    assertTrue(ends().getFirst() instanceof JobEnd.Failed);
    assertTrue(hostByTask.isEmpty());
  }

  @Test
  public void crashesUnderOtherOwnersCount() {
    owner.workerCrashed(new WorkerCrashed("a", 0, false, List.of("j.0.0")), 0);
    owner.workerCrashed(new WorkerCrashed("b", 0, false, List.of("j.0.0")), 2_000);
    submit("j", 1, 3_000);
    assertTrue(ends().getFirst() instanceof JobEnd.Failed);
    assertTrue(hostByTask.isEmpty());
  }

  @Test
  public void aCrashReportedTwiceCountsOnce() {
    owner.workerCrashed(new WorkerCrashed("a", 0, false, List.of("j.0.0")), 0);
    owner.workerCrashed(new WorkerCrashed("a", 2_000, false, List.of("j.0.0")), 2_000);
    submit("j", 1, 3_000);
    assertEquals(ends(), List.of());
  }

  @Test
  public void suspectTasksRunOnSeparateWorkers() {
    submit("j", 4, 0);
    String sharedHost = hostByTask.get("j.0.0");
    assertTrue(hostByTask.values().stream().allMatch(sharedHost::equals));
    crashWorkerOf("j.0.0", 1_000);
    assertEquals(hostByTask.values().stream().distinct().count(), 4);
    crashWorkerOf("j.0.2", 3_000);
    assertTrue(ends().getFirst() instanceof JobEnd.Failed);
  }

  /** Guards against a worker that stays closed to suspects after the job of one has ended. */
  @Test
  public void aSuspectWhoseJobHasEndedMakesRoomForOthers() {
    for (int i = 1; i <= 7; i++) {
      String job = "j" + i;
      owner.workerCrashed(new WorkerCrashed("a" + i, 0, true, List.of(job + ".0.0")), 1_000 * i);
      submit(job, 1, 1_000 * i);
      assertTrue(hostByTask.containsKey(job + ".0.0"), job);
      owner.drop(job, "caller disconnected");
      RunRef run = runs.get(job + ".0.0");
      owner.runEnded(hostByTask.get(run.task()), new RunEnded(run, RunEnd.STOPPED, 1), 1_000 * i);
    }
  }

  /** Guards against the same where a caller submits the job again before that end is reported. */
  @Test
  public void aSuspectWhoseJobHasEndedTwiceMakesRoomForOthers() {
    for (int i = 1; i <= 7; i++) {
      String job = "j" + i;
      String task = job + ".0.0";
      owner.workerCrashed(new WorkerCrashed("a" + i, 0, true, List.of(task)), 1_000 * i);
      submitAndDrop(job, 1_000 * i);
      String firstHost = hostByTask.remove(task);
      RunEnded firstEnd = new RunEnded(runs.get(task), RunEnd.STOPPED, 1);
      submitAndDrop(job, 1_000 * i + 1);
      String secondHost = hostByTask.remove(task);
      RunEnded secondEnd = new RunEnded(runs.get(task), RunEnd.STOPPED, 1);
      owner.runEnded(firstHost, firstEnd, 1_000 * i + 2);
      owner.runEnded(secondHost, secondEnd, 1_000 * i + 2);
    }
  }

  private void submitAndDrop(String job, long nowMs) {
    submit(job, 1, nowMs);
    assertTrue(hostByTask.containsKey(job + ".0.0"), job);
    owner.drop(job, "caller disconnected");
  }

  @Test
  public void otherTasksOfACrashedWorkerAreNotFailed() {
    submit("a", 1, 0);
    submit("b", 1, 0);
    String host = hostByTask.get("a.0.0");
    owner.workerCrashed(new WorkerCrashed(host + "-w", 0, false, List.of("a.0.0", "b.0.0")), 1_000);
    for (String task : List.of("a.0.0", "b.0.0")) {
      owner.runEnded(hostByTask.get(task), new RunEnded(runs.get(task), RunEnd.LOST, 1), 1_000);
    }
    collectEffects(1_000);
    crashWorkerOf("a.0.0", 3_000);
    assertEquals(ends().size(), 1);
    assertTrue(hostByTask.containsKey("b.0.0"));
  }

  @Test
  public void simultaneousCrashesAreNotAttributedToTasks() {
    for (long atMs : List.of(1_000L, 5_000L)) {
      for (int i = 0; i < 3; i++) {
        List<String> affected = List.of("j.0." + i);
        owner.workerCrashed(new WorkerCrashed("w" + i + atMs, 0, false, affected), atMs + 100 * i);
      }
    }
    submit("j", 3, 6_000);
    assertEquals(ends(), List.of());
    assertEquals(hostByTask.size(), 3);
  }

  @Test
  public void repeatedlyCrashingWorkersCountOnlyAtTheThirdCrash() {
    owner.workerCrashed(new WorkerCrashed("a", 0, true, List.of("j.0.0")), 0);
    owner.workerCrashed(new WorkerCrashed("b", 0, true, List.of("j.0.0")), 2_000);
    submit("j", 1, 3_000);
    assertEquals(ends(), List.of());
    crashWorkerAt(hostByTask.get("j.0.0"), true, 4_000);
    assertTrue(ends().getFirst() instanceof JobEnd.Failed, "never started after a third crash");
  }

  @Test
  public void oldCrashesExpire() {
    owner.workerCrashed(new WorkerCrashed("a", 0, false, List.of("j.0.0")), 0);
    owner.workerCrashed(new WorkerCrashed("b", 0, false, List.of("j.0.0")), 2_000);
    submit("j", 1, 400_000);
    assertEquals(ends(), List.of());
  }
}
