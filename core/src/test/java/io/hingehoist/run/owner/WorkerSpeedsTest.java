package io.hingehoist.run.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class WorkerSpeedsTest {

  @Test
  public void aSlowWorkerIsDetectedAndRecoversWithTime() {
    WorkerSpeeds speeds = new WorkerSpeeds();
    for (int i = 0; i < 30; i++) {
      speeds.recordRun("slow", 600, 100, 1_000);
      speeds.recordRun("well", 100, 100, 1_000);
    }
    assertTrue(speeds.slownessVsFleet("slow", 1_000) > WorkerSelector.MAX_SLOWNESS_VS_FLEET);
    assertTrue(speeds.slownessVsFleet("well", 1_000) < 1.2);
    assertTrue(speeds.slownessVsFleet("slow", 10_000) < WorkerSelector.MAX_SLOWNESS_VS_FLEET);
  }

  @Test
  public void anUnknownWorkerHasMeanSpeed() {
    assertEquals(new WorkerSpeeds().slownessVsFleet("new", 5), 1.0);
  }

  @Test
  public void overdueRunsCountBeforeTheyEnd() {
    WorkerSpeeds speeds = new WorkerSpeeds();
    for (int i = 0; i < 40; i++) {
      speeds.recordOverdueRun("hangs", 1_000, 100, 1_000);
    }
    assertTrue(speeds.slownessVsFleet("hangs", 1_000) > WorkerSelector.MAX_SLOWNESS_VS_FLEET);
  }

  @Test
  public void theUsualPaceDoesNotDecay() {
    WorkerSpeeds speeds = new WorkerSpeeds();
    speeds.recordUsualPace("slow", 167);
    assertEquals(speeds.slownessVsFleet("slow", 1_000_000), 1.67, 0.01);
    assertEquals(speeds.slownessVsUsual("slow", 1_000_000), 1.0, 0.01);
  }

  @Test
  public void aRunOfUsualLengthDoesNotMakeASlowWorkerUnhealthy() {
    WorkerSpeeds speeds = new WorkerSpeeds();
    speeds.recordUsualPace("slow", 167);
    for (int i = 0; i < 10; i++) {
      speeds.recordRun("slow", 167, 100, 1_000);
    }
    assertTrue(speeds.slownessVsUsual("slow", 1_000) < 1.1);
    speeds.recordRun("slow", 900, 100, 1_000);
    assertTrue(speeds.slownessVsUsual("slow", 1_000) > 1.3);
  }
}
