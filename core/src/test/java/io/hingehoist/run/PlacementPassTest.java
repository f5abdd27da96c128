package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Room;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import java.util.AbstractCollection;
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

  @BeforeMethod
  public void open() {
    HostView host = new HostView("h");
    Room free = new Room(1_000, 1_000, 0);
    WorkerRow row =
        new WorkerRow("w", "s", "z", List.of("a", "r1"), CAPACITY, free, WorkerState.READY);
    host.update(new HostRows(0, List.of(row)));
    hosts = new CountedHosts(List.of(host));
    pass = new PlacementPass(new WorkerChoice(new SpeedTable()), hosts, 0);
  }

  private static OwnedTask task(String jobId, StepPlan step) {
    JobPlan plan = new JobPlan(jobId, "q", "s", "spec", 0, 2, 100, 300, List.of(step));
    return new OwnedJob(plan, 0, 1).steps.getFirst().getFirst();
  }

  private static StepPlan step(Room need, String requires, int mostPerWorker) {
    return new StepPlan(1, need, 100, List.of(), requires, "", mostPerWorker);
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
    List<OwnedTask> tasks = new OwnedJob(plan, 0, 1).steps.getFirst();
    OwnedTask first = tasks.getFirst();
    first.state = OwnedTask.State.ORDERED;
    first.workerId = "w";
    assertFalse(pass.choose(tasks.getLast()).isPresent());
    assertTrue(pass.choose(task("b", step(SMALL, "", 0))).isPresent());
  }
}
