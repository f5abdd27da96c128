package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.run.RunSimulation.Fault;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Simulates many sequences of faults, each determined by its seed. */
public final class RunSimulationTest {
  private static final int SEEDS = 120;
  private static final long WITH_FAULTS_MS = 20_000;
  private static final long FAULT_FREE_MS = 25_000;

  @Test
  public void noTaskRunsTwiceAndEachJobIsAnswered() {
    runAll(Set.of());
  }

  @Test
  public void noTaskRunsTwiceWhileConnectionsFallSilent() {
    runAll(Set.of(Fault.SILENT_CONNECTIONS));
  }

  @Test
  public void noTaskRunsTwiceWhileCallsAreSlowAndStartsAreRefused() {
    runAll(Set.of(Fault.SLOW_CALLS));
  }

  @Test
  public void noTaskRunsTwiceWhileConnectionsToWorkersAreRefused() {
    runAll(Set.of(Fault.REFUSED_CONNECTIONS));
  }

  @Test
  public void noTaskRunsTwiceWhileWorkersRestartUnderTheSameId() {
    runAll(EnumSet.of(Fault.WORKER_RESTARTS));
  }

  @Test
  public void noTaskRunsTwiceWhileWorkersRestartAndCallsAreSlow() {
    runAll(EnumSet.of(Fault.WORKER_RESTARTS, Fault.SLOW_CALLS));
  }

  @Test
  public void noTaskRunsTwiceWhileBoxesAreSuspended() {
    runAll(Set.of(Fault.SUSPENDED_BOXES));
  }

  @Test
  public void noTaskRunsTwiceWithAllFaults() {
    runAll(EnumSet.allOf(Fault.class));
  }

  private static void runAll(Set<Fault> faults) {
    boolean completed = false;
    for (long seed = 1; seed <= SEEDS; seed++) {
      RunSimulation runs = new RunSimulation(seed, faults);
      try {
        runs.run(WITH_FAULTS_MS, FAULT_FREE_MS);
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      assertEquals(runs.openJobs(), List.of(), "seed " + seed + "\n" + runs.traceOfFirstOpenJob());
      completed |= runs.ends().contains("Completed");
    }
    assertTrue(completed);
  }
}
