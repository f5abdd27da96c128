package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.run.RunSimulation.Trouble;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Many orders of failures, each by its seed. */
public final class RunSimulationTest {
  private static final int SEEDS = 120;
  private static final long WITH_FAULTS_MS = 20_000;
  private static final long CALM_MS = 25_000;

  @Test
  public void noTaskRunsTwiceAndEachJobIsAnswered() {
    playAll(Set.of());
  }

  @Test
  public void theSameWhileConnectionsFallSilent() {
    playAll(Set.of(Trouble.SILENT_CONNECTIONS));
  }

  @Test
  public void noTaskRunsTwiceWhileCallsAreSlowAndStartsAreRefused() {
    playAll(Set.of(Trouble.SLOW_CALLS));
  }

  @Test
  public void noTaskRunsTwiceWhileConnectionsToWorkersAreRefused() {
    playAll(Set.of(Trouble.REFUSED_CONNECTIONS));
  }

  @Test
  public void noTaskRunsTwiceWithAllTroubles() {
    playAll(EnumSet.allOf(Trouble.class));
  }

  private static void playAll(Set<Trouble> troubles) {
    boolean completed = false;
    for (long seed = 1; seed <= SEEDS; seed++) {
      RunSimulation runs = new RunSimulation(seed, troubles);
      try {
        runs.play(WITH_FAULTS_MS, CALM_MS);
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      assertEquals(runs.openJobs(), List.of(), "seed " + seed + "\n" + runs.traceOfOpen());
      completed |= runs.ends().contains("Completed");
    }
    assertTrue(completed);
  }
}
