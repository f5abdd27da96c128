package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.run.TaskNames;
import io.hingehoist.run.host.ProgressWatch.Pace;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ProgressWatchTest {
  private static final long ESTIMATE_MS = 200;

  private ProgressWatch watch;

  @BeforeMethod
  public void create() {
    watch = new ProgressWatch();
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
        watch.noteProgress(run, percent, nowMs);
      }
      watch.judge(nowMs);
    }
    runs.forEach(watch::forget);
  }

  @Test
  public void runsThatGetOnAsEstimatedAreUsual() {
    show(10, 0, 100);
    assertEquals(watch.pace(100), Pace.USUAL);
    assertFalse(watch.isOnTrial());
  }

  @Test
  public void aStandstillIsKnownWithinATenthOfASecond() {
    show(0, 0, 100);
    assertEquals(watch.pace(100), Pace.STALLED);
  }

  @Test
  public void aSlowWorkerIsKnownBeforeAnyRunEnds() {
    show(2, 0, 120);
    assertEquals(watch.pace(120), Pace.SLOW);
  }

  @Test
  public void slownessThatIsSeenOnceMayBeAWrongEstimate() {
    show(2, 0, 60);
    show(10, 100, 160);
    assertEquals(watch.pace(160), Pace.USUAL);
  }

  @Test
  public void estimatesThatAreWrongEverywhereBecomeTheUsualRate() {
    for (int i = 0; i < 300; i++) {
      show(6, i * 200L, i * 200L + 100);
    }
    show(3, 60_000, 60_100);
    assertEquals(watch.pace(60_100), Pace.USUAL);
  }

  @Test
  public void oneLongRunIsNotJudgedByAHundredthThatIsYetToCome() {
    HostedRun hour = run("a", 0, 3_600_000);
    for (long nowMs = 0; nowMs < 10_000; nowMs += 50) {
      watch.noteProgress(hour, 0, nowMs);
      assertFalse(watch.judge(nowMs));
    }
    assertEquals(watch.pace(10_000), Pace.USUAL);
  }

  @Test
  public void aWorkerIsTriedAfterARestThatGrowsUntilItIsWell() {
    show(0, 0, 100);
    assertEquals(watch.pace(500), Pace.STALLED);
    assertEquals(watch.pace(600), Pace.USUAL);
    assertTrue(watch.isOnTrial());
    show(0, 700, 800);
    assertEquals(watch.pace(1_500), Pace.STALLED);
    assertEquals(watch.pace(1_900), Pace.USUAL);
    show(10, 2_000, 2_100);
    assertFalse(watch.isOnTrial());
  }

  @Test
  public void endsCountAsProgress() {
    HostedRun first = run("a", 0, ESTIMATE_MS);
    HostedRun second = run("b", 0, ESTIMATE_MS);
    watch.noteProgress(first, 0, 0);
    watch.noteProgress(second, 0, 0);
    watch.noteDone(first, 200);
    watch.noteDone(second, 200);
    watch.judge(200);
    assertEquals(watch.pace(200), Pace.USUAL);
  }
}
