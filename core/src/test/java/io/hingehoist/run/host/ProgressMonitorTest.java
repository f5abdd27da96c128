package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.run.TaskNames;
import io.hingehoist.run.host.ProgressMonitor.Rate;
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

  /** Reports runs of three jobs that advance by a given percentage every 20 ms. */
  private void reportProgress(int percentEach, long fromMs, long toMs) {
    List<HostedRun> runs =
        List.of(run("a", 0, ESTIMATE_MS), run("b", 0, ESTIMATE_MS), run("c", 0, ESTIMATE_MS));
    for (long nowMs = fromMs; nowMs <= toMs; nowMs += 20) {
      int percent = (int) ((nowMs - fromMs) / 20 * percentEach);
      for (HostedRun run : runs) {
        monitor.recordProgress(run, percent, nowMs);
      }
      monitor.judge(nowMs);
    }
    runs.forEach(monitor::remove);
  }

  @Test
  public void runsThatAdvanceAsEstimatedAreUsual() {
    reportProgress(10, 0, 100);
    assertEquals(monitor.rate(100), Rate.USUAL);
    assertFalse(monitor.isOnTrial());
  }

  @Test
  public void aStalledWorkerIsDetectedWithin100Ms() {
    reportProgress(0, 0, 100);
    assertEquals(monitor.rate(100), Rate.STALLED);
  }

  @Test
  public void aSlowWorkerIsDetectedBeforeAnyRunEnds() {
    reportProgress(2, 0, 120);
    assertEquals(monitor.rate(120), Rate.SLOW);
  }

  @Test
  public void aSingleObservationOfSlownessIsIgnored() {
    reportProgress(2, 0, 60);
    reportProgress(10, 100, 160);
    assertEquals(monitor.rate(160), Rate.USUAL);
  }

  @Test
  public void consistentlyWrongEstimatesBecomeTheUsualRate() {
    for (int i = 0; i < 300; i++) {
      reportProgress(6, i * 200L, i * 200L + 100);
    }
    reportProgress(3, 60_000, 60_100);
    assertEquals(monitor.rate(60_100), Rate.USUAL);
  }

  @Test
  public void aLongRunIsNotJudgedBeforeItsFirstPercent() {
    HostedRun hourLongRun = run("a", 0, 3_600_000);
    for (long nowMs = 0; nowMs < 10_000; nowMs += 50) {
      monitor.recordProgress(hourLongRun, 0, nowMs);
      assertFalse(monitor.judge(nowMs));
    }
    assertEquals(monitor.rate(10_000), Rate.USUAL);
  }

  @Test
  public void aWorkerIsTriedAfterAPauseThatGrowsUntilItRecovers() {
    reportProgress(0, 0, 100);
    assertEquals(monitor.rate(500), Rate.STALLED);
    assertEquals(monitor.rate(600), Rate.USUAL);
    assertTrue(monitor.isOnTrial());
    reportProgress(0, 700, 800);
    assertEquals(monitor.rate(1_500), Rate.STALLED);
    assertEquals(monitor.rate(1_900), Rate.USUAL);
    reportProgress(10, 2_000, 2_100);
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
    assertEquals(monitor.rate(200), Rate.USUAL);
  }
}
