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

/** Plays entries, agents and the log in many random orders, with failures. */
public final class StartOnceTest {
  private static final int STEPS = 3_000;

  private final Map<Boolean, Integer> ended = new HashMap<>();

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[300][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  /** Kills, freezes and broken connections never start a task twice or leave a job without end. */
  @Test(dataProvider = "seeds")
  public void noTaskStartsTwiceAndEveryJobEnds(long seed) {
    OnceGroup group = new OnceGroup(seed);
    int submitted = 0;
    for (int step = 0; step < STEPS; step++) {
      if (group.random.nextInt(100) == 0) {
        String id = "job-" + submitted++ / 2;
        OnceGroup.Entry entry = group.entries.get(group.random.nextInt(2));
        if (entry.alive && !entry.frozen) {
          entry.submit(id);
        }
      }
      playOne(group);
      group.nowMs += group.random.nextInt(4);
    }
    group.calmDown();
    for (int job = 0; job <= submitted / 2; job++) {
      Optional<JobRow> row = group.state.job("c", "job-" + job);
      if (row.isPresent()) {
        OnceGroup.checkWhole(row.get());
        boolean complete = row.get().outcome().orElseThrow().status() == OutcomeStatus.COMPLETE;
        ended.merge(complete, 1, Integer::sum);
      }
    }
  }

  /** Makes sure that the orders played lead to both ends, often. */
  @AfterClass
  public void checkThatBothEndsWereReached() {
    assertTrue(ended.get(true) > 500 && ended.get(false) > 500, "ends reached: " + ended);
  }

  private static void playOne(OnceGroup group) {
    OnceGroup.Entry entry = group.entries.get(group.random.nextInt(2));
    OnceGroup.Agent agent = group.agents.get(group.random.nextInt(3));
    int dice = group.random.nextInt(1_000);
    if (dice < 300) {
      group.deliver(entry, agent, true);
    } else if (dice < 600) {
      group.deliver(entry, agent, false);
    } else if (dice < 700) {
      agent.finishOne();
    } else if (dice < 760) {
      group.applyOneProposal();
    } else if (dice < 850) {
      heartbeat(entry, agent);
    } else if (dice < 870) {
      group.connect(entry, agent);
    } else if (dice < 875) {
      group.breakConnection(entry, agent);
    } else if (dice < 878) {
      entry.frozen = !entry.frozen;
    } else if (dice < 881) {
      agent.frozen = !agent.frozen;
    } else if (dice < 883) {
      restart(entry);
    } else if (dice == 883) {
      agent.restart();
    } else if (dice < 888) {
      group.stallOrRelease(entry, agent);
    } else if (dice < 940) {
      group.endSilentMembers();
    } else if (entry.alive && !entry.frozen) {
      entry.carryOut(entry.dispatcher.onTick(group.nowMs));
    }
  }

  private static void heartbeat(OnceGroup.Entry entry, OnceGroup.Agent agent) {
    if (entry.alive && !entry.frozen) {
      entry.heartbeat();
    }
    if (!agent.frozen) {
      agent.heartbeat();
    }
  }

  private static void restart(OnceGroup.Entry entry) {
    if (entry.alive) {
      entry.kill();
    } else {
      entry.start();
    }
  }
}
