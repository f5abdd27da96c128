package io.hingehoist.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that five blank replicas found one cluster, whichever of them end meanwhile. */
public final class FoundingTest {

  private static void checkCommits(ReplicaGroup group, String command) {
    group.propose(group.leader(), command);
    group.runFor(500);
    assertTrue(group.isCommitted(command));
  }

  @Test
  public void blankReplicasFoundAClusterWithAllOfThemAsVoters() {
    ReplicaGroup group = ReplicaGroup.blank(7, 5);
    group.runFor(500);
    assertEquals(group.leader().replica.votersAt(1).voters().size(), 5);
    checkCommits(group, "first");
  }

  /** No cluster was ever founded when the founder was killed before it had founded one. */
  @Test
  public void aFounderThatWasKilledBeforeFoundsTheCluster() {
    ReplicaGroup group = ReplicaGroup.blank(7, 5);
    ReplicaGroup.Box founder = group.boxes.get("box-0");
    founder.crash();
    group.runFor(500);
    founder.start();
    group.runFor(500);
    assertEquals(group.voterIds().size(), 5);
  }

  /** A cluster was lost with the disk of its founder until the others had become voters. */
  @Test
  public void aFounderMayLoseItsDiskAtAnyTime() {
    for (int ms = 0; ms < 300; ms++) {
      ReplicaGroup group = ReplicaGroup.blank(7, 5);
      ReplicaGroup.Box founder = group.boxes.get("box-0");
      group.runFor(ms);
      founder.wipeDisk("id-new");
      founder.start();
      group.runFor(5_000);
      checkCommits(group, "after");
      assertTrue(group.voterIds().contains("id-new"), "disk lost after " + ms + " ms");
    }
  }

  @Test
  public void twoBlankReplicasOfFiveJoinAndFoundNothing() {
    ReplicaGroup group = ReplicaGroup.blank(7, 5);
    group.runFor(500);
    checkCommits(group, "before");
    String clusterId = group.leader().clusterId;
    for (String lost : List.of("box-0", "box-1")) {
      group.boxes.get(lost).wipeDisk("id-new-" + lost);
      group.boxes.get(lost).start();
    }
    group.runFor(10_000);
    group.boxes.values().forEach(box -> assertEquals(box.clusterId, clusterId));
    assertEquals(group.boxes.get("box-0").appliedIndex, group.leader().appliedIndex);
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[200][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  /** Checks that at most one cluster commits anything, and that one does in the end. */
  @Test(dataProvider = "seeds")
  public void oneClusterIsFoundedUnderRandomFaults(long seed) {
    ReplicaGroup group = ReplicaGroup.blank(seed, 5);
    int wiped = 0;
    for (int i = 0; i < 3_000; i++) {
      ReplicaGroup.Box box = group.randomBox();
      int roll = group.random.nextInt(1_000);
      if (box.replica == null) {
        if (roll < 200) {
          box.start();
        }
      } else if (roll < 300) {
        box.step(new ReplicaEvent.Tick());
      } else if (roll < 500) {
        box.sync();
      } else if (roll < 510) {
        box.crash();
      } else if (roll < 512 && wiped < 2) {
        box.wipeDisk("id-wiped-" + wiped++);
      } else if (roll < 530) {
        group.loseRandomMessage();
      } else {
        group.deliverRandomMessage();
      }
      group.nowMs += group.random.nextInt(3);
    }
    group.checkRecovery();
  }
}
