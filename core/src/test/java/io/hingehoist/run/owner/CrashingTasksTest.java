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
 * Some tasks crash each worker that starts them. Started again and again, one such task takes down
 * one worker after the other, with all that runs there.
 */
public final class CrashingTasksTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final Room CAPACITY = new Room(8_000, 8_000, 0);
  private static final Room NEED = new Room(1_000, 10, 0);

  private final List<OwnerEffect> effects = new ArrayList<>();
  private final Map<String, String> hostsOfTasks = new HashMap<>();
  private final Map<String, RunRef> runs = new HashMap<>();
  private JobOwner owner;

  @BeforeMethod
  public void open() {
    owner = JobOwner.create(TIMING);
    hostsOfTasks.clear();
    runs.clear();
    for (int i = 1; i <= 6; i++) {
      owner.sessionOpened("h" + i, "z", 1, true);
      show("h" + i, 0);
    }
    settle(0);
  }

  private void show(String host, long nowMs) {
    WorkerRow row =
        new WorkerRow(host + "-w", "s", "z", List.of(), CAPACITY, CAPACITY, WorkerState.READY, 0);
    owner.hostRowsReceived(host, new HostRows(100, List.of(row)), nowMs);
  }

  private void submit(String id, int tasks, long nowMs) {
    StepPlan step = StepPlan.of(tasks, NEED, 100);
    owner.submit(new JobPlan(id, "q", "s", "", 0, 9, 3_000, 9_000, List.of(step)), nowMs);
    settle(nowMs);
  }

  private void settle(long nowMs) {
    owner.place(nowMs);
    effects.clear();
    effects.addAll(owner.drainEffects());
    for (OwnerEffect effect : effects) {
      if (effect instanceof OwnerEffect.SendToHost to && to.message() instanceof StartRuns order) {
        for (RunRef run : order.runs()) {
          hostsOfTasks.put(run.task(), to.hostId());
          runs.put(run.task(), run);
        }
      }
    }
  }

  /** The worker crashes on which a task runs, with all that is there. */
  private void crashUnder(String task, long nowMs) {
    crash(hostsOfTasks.get(task), false, nowMs);
  }

  private void crash(String host, boolean again, long nowMs) {
    List<String> there =
        hostsOfTasks.entrySet().stream()
            .filter(entry -> entry.getValue().equals(host))
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    owner.workerCrashed(new WorkerCrashed(host + "-w" + nowMs, 0, again, there), nowMs);
    for (String task : there) {
      hostsOfTasks.remove(task);
      owner.runEnded(host, new RunEnded(runs.get(task), RunEnd.LOST, 1), nowMs);
    }
    show(host, nowMs);
    settle(nowMs);
  }

  private List<JobEnd> ends() {
    return effects.stream()
        .filter(OwnerEffect.AnswerJob.class::isInstance)
        .map(effect -> ((OwnerEffect.AnswerJob) effect).end())
        .toList();
  }

  @Test
  public void aTaskUnderWhichTwoWorkersCrashedIsNotStartedAThirdTime() {
    submit("j", 1, 0);
    crashUnder("j.0.0", 1_000);
    assertTrue(hostsOfTasks.containsKey("j.0.0"), "one crash says little of a task");
    crashUnder("j.0.0", 3_000);
    assertTrue(ends().getFirst() instanceof JobEnd.Failed);
    assertTrue(hostsOfTasks.isEmpty());
  }

  @Test
  public void whatOtherOwnersSawCounts() {
    owner.workerCrashed(new WorkerCrashed("a", 0, false, List.of("j.0.0")), 0);
    owner.workerCrashed(new WorkerCrashed("b", 0, false, List.of("j.0.0")), 2_000);
    submit("j", 1, 3_000);
    assertTrue(ends().getFirst() instanceof JobEnd.Failed);
    assertTrue(hostsOfTasks.isEmpty());
  }

  @Test
  public void oneCrashThatIsToldTwiceCountsOnce() {
    owner.workerCrashed(new WorkerCrashed("a", 0, false, List.of("j.0.0")), 0);
    owner.workerCrashed(new WorkerCrashed("a", 2_000, false, List.of("j.0.0")), 2_000);
    submit("j", 1, 3_000);
    assertEquals(ends(), List.of());
  }

  @Test
  public void tasksThatWereThereAreTriedApart() {
    submit("j", 4, 0);
    String together = hostsOfTasks.get("j.0.0");
    assertTrue(hostsOfTasks.values().stream().allMatch(together::equals));
    crashUnder("j.0.0", 1_000);
    assertEquals(hostsOfTasks.values().stream().distinct().count(), 4);
    crashUnder("j.0.2", 3_000);
    assertTrue(ends().getFirst() instanceof JobEnd.Failed);
  }

  @Test
  public void thoseThatWereThereAreNotBlamedForTheOneThatCrashes() {
    submit("a", 1, 0);
    submit("b", 1, 0);
    String host = hostsOfTasks.get("a.0.0");
    owner.workerCrashed(new WorkerCrashed(host + "-w", 0, false, List.of("a.0.0", "b.0.0")), 1_000);
    for (String task : List.of("a.0.0", "b.0.0")) {
      owner.runEnded(hostsOfTasks.get(task), new RunEnded(runs.get(task), RunEnd.LOST, 1), 1_000);
    }
    settle(1_000);
    crashUnder("a.0.0", 3_000);
    assertEquals(ends().size(), 1);
    assertTrue(hostsOfTasks.containsKey("b.0.0"));
  }

  @Test
  public void manyWorkersThatGoInTheSameMomentSayNothingOfTheirTasks() {
    for (long atMs : List.of(1_000L, 5_000L)) {
      for (int i = 0; i < 3; i++) {
        List<String> there = List.of("j.0." + i);
        owner.workerCrashed(new WorkerCrashed("w" + i + atMs, 0, false, there), atMs + 100 * i);
      }
    }
    submit("j", 3, 6_000);
    assertEquals(ends(), List.of());
    assertEquals(hostsOfTasks.size(), 3);
  }

  @Test
  public void workersThatGoDownByThemselvesAreNoReasonUntilAThirdCrash() {
    owner.workerCrashed(new WorkerCrashed("a", 0, true, List.of("j.0.0")), 0);
    owner.workerCrashed(new WorkerCrashed("b", 0, true, List.of("j.0.0")), 2_000);
    submit("j", 1, 3_000);
    assertEquals(ends(), List.of());
    crash(hostsOfTasks.get("j.0.0"), true, 4_000);
    assertTrue(ends().getFirst() instanceof JobEnd.Failed, "never started after a third crash");
  }

  @Test
  public void whatWasLongAgoIsForgotten() {
    owner.workerCrashed(new WorkerCrashed("a", 0, false, List.of("j.0.0")), 0);
    owner.workerCrashed(new WorkerCrashed("b", 0, false, List.of("j.0.0")), 2_000);
    submit("j", 1, 400_000);
    assertEquals(ends(), List.of());
  }
}
