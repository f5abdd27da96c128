package io.hingehoist.dispatch;

import static org.testng.Assert.assertTrue;

import io.hingehoist.command.OutcomeStatus;
import io.hingehoist.state.JobRow;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests entries, agents and the replicated log with random orders of events and failures. */
public final class StartOnceTest {
  private static final int STEPS = 3_000;

  private final Map<Boolean, Integer> jobCountByCompleteness = new HashMap<>();

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[300][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  /** Guards against repeated starts and unended jobs after kills, pauses and lost connections. */
  @Test(dataProvider = "seeds")
  public void noTaskStartsTwiceAndEveryJobEnds(long seed) {
    DispatchSimulation simulation = new DispatchSimulation(seed);
    int submitted = 0;
    for (int step = 0; step < STEPS; step++) {
      if (simulation.random.nextInt(100) == 0) {
        String id = "job-" + submitted++ / 2;
        DispatchSimulation.Entry entry = simulation.entries.get(simulation.random.nextInt(2));
        if (entry.alive && !entry.frozen) {
          entry.submit(id);
        }
      }
      performRandomEvent(simulation);
      simulation.nowMs += simulation.random.nextInt(4);
    }
    simulation.runWithoutFailures();
    for (int job = 0; job <= submitted / 2; job++) {
      Optional<JobRow> row = simulation.state.job("c", "job-" + job);
      if (row.isPresent()) {
        DispatchSimulation.checkOutcome(row.get());
        boolean complete = row.get().outcome().orElseThrow().status() == OutcomeStatus.COMPLETE;
        jobCountByCompleteness.merge(complete, 1, Integer::sum);
      }
    }
  }

  /** Checks that the random orders often lead to both outcomes, so that both are tested. */
  @AfterClass
  public void checkThatBothOutcomesOccurred() {
    assertTrue(
        jobCountByCompleteness.get(true) > 500 && jobCountByCompleteness.get(false) > 500,
        "jobs by completeness: " + jobCountByCompleteness);
  }

  private static void performRandomEvent(DispatchSimulation simulation) {
    DispatchSimulation.Entry entry = simulation.entries.get(simulation.random.nextInt(2));
    DispatchSimulation.Agent agent = simulation.agents.get(simulation.random.nextInt(3));
    int draw = simulation.random.nextInt(1_000);
    if (draw < 300) {
      simulation.deliver(entry, agent, true);
    } else if (draw < 600) {
      simulation.deliver(entry, agent, false);
    } else if (draw < 700) {
      agent.finishOneRun();
    } else if (draw < 760) {
      simulation.applyOneProposal();
    } else if (draw < 850) {
      heartbeat(entry, agent);
    } else if (draw < 870) {
      simulation.connect(entry, agent);
    } else if (draw < 875) {
      simulation.breakConnection(entry, agent);
    } else if (draw < 878) {
      entry.frozen = !entry.frozen;
    } else if (draw < 881) {
      agent.frozen = !agent.frozen;
    } else if (draw < 883) {
      restart(entry);
    } else if (draw == 883) {
      agent.restart();
    } else if (draw < 888) {
      simulation.toggleStalled(entry, agent);
    } else if (draw < 940) {
      simulation.endSilentMembers();
    } else if (entry.alive && !entry.frozen) {
      entry.carryOut(entry.dispatcher.onTick(simulation.nowMs));
    }
  }

  private static void heartbeat(DispatchSimulation.Entry entry, DispatchSimulation.Agent agent) {
    if (entry.alive && !entry.frozen) {
      entry.heartbeat();
    }
    if (!agent.frozen) {
      agent.heartbeat();
    }
  }

  private static void restart(DispatchSimulation.Entry entry) {
    if (entry.alive) {
      entry.kill();
    } else {
      entry.start();
    }
  }
}
