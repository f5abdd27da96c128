package io.hingehoist.run.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Room;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import io.hingehoist.run.JobPlan;
import io.hingehoist.run.StepPlan;
import java.util.AbstractCollection;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PlacementPassTest {
  private static final Room CAPACITY = new Room(2_000, 1_000, 0);
  private static final Room LARGE = new Room(1_800, 10, 0);
  private static final Room SMALL = new Room(500, 10, 0);

  /** Counts how often someone looks through the hosts. */
  private static final class CountedHosts extends AbstractCollection<HostView> {
    private final List<HostView> hosts;
    private int looks;

    private CountedHosts(List<HostView> hosts) {
      this.hosts = hosts;
    }

    @Override
    public Iterator<HostView> iterator() {
      looks++;
      return hosts.iterator();
    }

    @Override
    public int size() {
      return hosts.size();
    }
  }

  private CountedHosts hosts;
  private PlacementPass pass;

  private static HostView host(String id, String rack, Room free) {
    HostView host = new HostView(id);
    WorkerRow row =
        new WorkerRow(
            id + "-w", "s", "z", List.of("a", rack), CAPACITY, free, WorkerState.READY, 0);
    host.update(new HostRows(0, List.of(row)));
    return host;
  }

  private static WorkerView workerOf(HostView host) {
    return host.workers().iterator().next();
  }

  @BeforeMethod
  public void open() {
    HostView host = host("h", "r1", new Room(1_000, 1_000, 0));
    hosts = new CountedHosts(List.of(host));
    pass = new PlacementPass(new WorkerChoice(new SpeedTable()), hosts, hosts, 0);
  }

  private static OwnedTask task(String jobId, StepPlan step) {
    JobPlan plan = new JobPlan(jobId, "q", "s", "spec", 0, 2, 100, 300, List.of(step));
    return new OwnedJob(plan, 0, 1).tasksOf(0).getFirst();
  }

  private static StepPlan step(Room need, String requires, int maxTasksPerWorker) {
    return new StepPlan(1, need, 100, List.of(), requires, "", maxTasksPerWorker);
  }

  @Test
  public void whatNeedsAsMuchAsATaskWithoutRoomIsNotLookedFor() {
    assertTrue(pass.choose(task("a", step(LARGE, "", 0))).isEmpty());
    int looks = hosts.looks;
    assertTrue(pass.choose(task("b", step(LARGE, "", 0))).isEmpty());
    assertTrue(pass.choose(task("c", step(CAPACITY, "a", 1))).isEmpty());
    assertEquals(hosts.looks, looks);
  }

  @Test
  public void whatNeedsLessFindsItsRoomBehindWhatHasNone() {
    assertTrue(pass.choose(task("a", step(LARGE, "", 0))).isEmpty());
    assertTrue(pass.choose(task("b", step(SMALL, "", 0))).isPresent());
  }

  @Test
  public void aMissForALabelSaysNothingOfOtherTasks() {
    assertTrue(pass.choose(task("a", step(SMALL, "elsewhere", 0))).isEmpty());
    assertTrue(pass.choose(task("b", step(SMALL, "a", 0))).isPresent());
    assertTrue(pass.choose(task("c", step(SMALL, "", 0))).isPresent());
  }

  @Test
  public void aMissOfATaskThatMayNotShareItsWorkerSaysNothingOfOtherTasks() {
    StepPlan alone = new StepPlan(2, SMALL, 100, List.of(), "", "", 1);
    JobPlan plan = new JobPlan("a", "q", "s", "spec", 0, 2, 100, 300, List.of(alone));
    List<OwnedTask> tasks = new OwnedJob(plan, 0, 1).tasksOf(0);
    tasks.getFirst().noteOrdered(workerOf(host("h", "r1", SMALL)), 0);
    assertFalse(pass.choose(tasks.getLast()).isPresent());
    assertTrue(pass.choose(task("b", step(SMALL, "", 0))).isPresent());
  }

  private static String chosen(PlacementPass pass, OwnedTask task) {
    return pass.choose(task).orElseThrow().hostId;
  }

  @Test
  public void hostsThatAreNotFollowedGetWhatFitsNowhereElse() {
    HostView followed = host("followed", "r1", new Room(600, 1_000, 0));
    HostView other = host("other", "r2", CAPACITY);
    PlacementPass both =
        new PlacementPass(
            new WorkerChoice(new SpeedTable()), List.of(followed), List.of(followed, other), 0);

    assertEquals(chosen(both, task("a", step(SMALL, "", 0))), "followed");
    assertEquals(chosen(both, task("b", step(LARGE, "", 0))), "other");
  }

  @Test
  public void aTaskGoesToItsDataWhoeverFollowsIt() {
    HostView followed = host("followed", "r1", CAPACITY);
    HostView other = host("other", "r2", CAPACITY);
    PlacementPass both =
        new PlacementPass(
            new WorkerChoice(new SpeedTable()), List.of(followed), List.of(followed, other), 0);
    StepPlan atItsData = new StepPlan(1, SMALL, 100, List.of(), "", "r2", 0);

    assertEquals(chosen(both, task("a", atItsData)), "other");
  }

  private static List<OwnedTask> tasks(int count, Room need) {
    StepPlan step = new StepPlan(count, need, 100, List.of(), "", "", 0);
    JobPlan plan = new JobPlan("a", "q", "s", "spec", 0, 2, 100, 300, List.of(step));
    return new OwnedJob(plan, 0, 1).tasksOf(0);
  }

  /** Places tasks as an owner does, and returns where they went. */
  private static List<String> placed(PlacementPass pass, List<OwnedTask> tasks) {
    List<String> places = new ArrayList<>();
    for (OwnedTask task : tasks) {
      WorkerView worker = pass.choose(task).orElseThrow();
      worker.noteOrder(1, task);
      places.add(worker.hostId);
    }
    return places;
  }

  private static PlacementPass passOver(HostView... hosts) {
    return new PlacementPass(
        new WorkerChoice(new SpeedTable()), List.of(hosts), List.of(hosts), /* nowMs= */ 0);
  }

  @Test
  public void tasksOfOneStepStayTogetherWhileTheirWorkerKeepsSomeRoom() {
    PlacementPass pass = passOver(host("h1", "r1", CAPACITY), host("h2", "r1", CAPACITY));
    assertEquals(placed(pass, tasks(4, SMALL)), List.of("h1", "h1", "h1", "h2"));
  }

  @Test
  public void theNextJobBeginsAtTheWorkerWithMostRoom() {
    PlacementPass pass = passOver(host("h1", "r1", CAPACITY), host("h2", "r1", CAPACITY));
    assertEquals(placed(pass, tasks(2, SMALL)), List.of("h1", "h1"));
    assertEquals(placed(pass, tasks(2, SMALL)), List.of("h2", "h2"));
  }

  @Test
  public void aTaskDoesNotFollowOthersToTheWorkerThatItFailedOn() {
    HostView failed = host("h1", "r1", CAPACITY);
    PlacementPass pass = passOver(failed, host("h2", "r1", SMALL));
    List<OwnedTask> tasks = tasks(2, SMALL);
    tasks.getLast().noteOrdered(workerOf(failed), 0);
    tasks.getLast().avoidItsWorker();
    assertEquals(placed(pass, tasks), List.of("h1", "h2"));
  }

  /** Returns a pass over one worker that takes some twice as long as the others. */
  private static PlacementPass passOverSlowWorker(long nowMs) {
    SpeedTable speeds = new SpeedTable();
    for (int i = 0; i < 400; i++) {
      speeds.noteRun(i % 10 == 0 ? "h-w" : "other", i % 10 == 0 ? 220 : 100, 100, nowMs);
    }
    List<HostView> hosts = List.of(host("h", "r1", CAPACITY));
    return new PlacementPass(new WorkerChoice(speeds), hosts, hosts, nowMs);
  }

  /** Returns a task of some 50 ms whose job was taken at 0 and has 300 ms. */
  private static OwnedTask shortTask() {
    StepPlan step = new StepPlan(1, SMALL, 50, List.of(), "", "", 0);
    JobPlan plan = new JobPlan("a", "q", "s", "spec", 0, 2, 300, 900, List.of(step));
    return new OwnedJob(plan, 0, 1).tasksOf(0).getFirst();
  }

  @Test
  public void aTaskThatASlowWorkerWouldMakeLateWaitsForAnother() {
    assertTrue(passOverSlowWorker(10).choose(shortTask()).isPresent());
    assertTrue(passOverSlowWorker(220).choose(shortTask()).isEmpty());
  }

  @Test
  public void aTaskThatIsLateAnywayTakesASlowWorker() {
    assertTrue(passOverSlowWorker(290).choose(shortTask()).isPresent());
  }

  @Test
  public void aTaskThatWaitsForAnotherWorkerSaysNothingOfThoseThatHaveMoreTime() {
    PlacementPass pass = passOverSlowWorker(220);
    assertTrue(pass.choose(shortTask()).isEmpty());
    assertTrue(pass.choose(task("b", step(SMALL, "", 0))).isPresent());
  }
}
