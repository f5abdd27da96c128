package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.run.TaskNames;
import io.hingehoist.run.host.ProgressMonitor.Pace;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ProgressMonitorTest {
  private static final long ESTIMATE_MS = 200;

  private ProgressMonitor monitor;

  @BeforeMethod
  public void create() {
    monitor = new ProgressMonitor();
  }

  private static HostedRun run(String job, int index, long estimateMs) {
    RunRef ref = new RunRef(TaskNames.of(job, 0, index), 1);
    StartRuns order =
        new StartRuns(1, "w", job, "spec", estimateMs, new Room(1, 1, 0), List.of(ref));
    return new HostedRun(ref, order, 1, 0);
  }

  /**
   * Shows runs of three jobs that do so many hundredths in each 20 ms, from one time to another.
   */
  private void show(int percentEach, long fromMs, long toMs) {
    List<HostedRun> runs =
        List.of(run("a", 0, ESTIMATE_MS), run("b", 0, ESTIMATE_MS), run("c", 0, ESTIMATE_MS));
    for (long nowMs = fromMs; nowMs <= toMs; nowMs += 20) {
      int percent = (int) ((nowMs - fromMs) / 20 * percentEach);
      for (HostedRun run : runs) {
        monitor.recordProgress(run, percent, nowMs);
      }
      monitor.judge(nowMs);
    }
    runs.forEach(monitor::forget);
  }

  @Test
  public void runsThatGetOnAsEstimatedAreUsual() {
    show(10, 0, 100);
    assertEquals(monitor.pace(100), Pace.USUAL);
    assertFalse(monitor.isOnTrial());
  }

  @Test
  public void aStandstillIsKnownWithinATenthOfASecond() {
    show(0, 0, 100);
    assertEquals(monitor.pace(100), Pace.STALLED);
  }

  @Test
  public void aSlowWorkerIsKnownBeforeAnyRunEnds() {
    show(2, 0, 120);
    assertEquals(monitor.pace(120), Pace.SLOW);
  }

  @Test
  public void slownessThatIsSeenOnceMayBeAWrongEstimate() {
    show(2, 0, 60);
    show(10, 100, 160);
    assertEquals(monitor.pace(160), Pace.USUAL);
  }

  @Test
  public void estimatesThatAreWrongEverywhereBecomeTheUsualRate() {
    for (int i = 0; i < 300; i++) {
      show(6, i * 200L, i * 200L + 100);
    }
    show(3, 60_000, 60_100);
    assertEquals(monitor.pace(60_100), Pace.USUAL);
  }

  @Test
  public void oneLongRunIsNotJudgedByAHundredthThatIsYetToCome() {
    HostedRun hour = run("a", 0, 3_600_000);
    for (long nowMs = 0; nowMs < 10_000; nowMs += 50) {
      monitor.recordProgress(hour, 0, nowMs);
      assertFalse(monitor.judge(nowMs));
    }
    assertEquals(monitor.pace(10_000), Pace.USUAL);
  }

  @Test
  public void aWorkerIsTriedAfterARestThatGrowsUntilItIsWell() {
    show(0, 0, 100);
    assertEquals(monitor.pace(500), Pace.STALLED);
    assertEquals(monitor.pace(600), Pace.USUAL);
    assertTrue(monitor.isOnTrial());
    show(0, 700, 800);
    assertEquals(monitor.pace(1_500), Pace.STALLED);
    assertEquals(monitor.pace(1_900), Pace.USUAL);
    show(10, 2_000, 2_100);
    assertFalse(monitor.isOnTrial());
  }

  @Test
  public void endsCountAsProgress() {
    HostedRun first = run("a", 0, ESTIMATE_MS);
    HostedRun second = run("b", 0, ESTIMATE_MS);
    monitor.recordProgress(first, 0, 0);
    monitor.recordProgress(second, 0, 0);
    monitor.recordSuccess(first, 200);
    monitor.recordSuccess(second, 200);
    monitor.judge(200);
    assertEquals(monitor.pace(200), Pace.USUAL);
  }
}
