package io.hingehoist.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
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
  public Object[][] pairs() {
    List<Object[]> pairs = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      for (int j = i + 1; j < 5; j++) {
        pairs.add(new Object[] {"box-" + i, "box-" + j});
      }
    }
    return pairs.toArray(Object[][]::new);
  }

  private static ReplicaGroup withoutTwo(String one, String other) {
    ReplicaGroup group = ReplicaGroup.blank(7, 5);
    group.isolate(one);
    group.isolate(other);
    return group;
  }

  /** No cluster was founded until the last of the boxes that were dark at the start was back. */
  @Test(dataProvider = "pairs")
  public void twoBoxesThatAreDarkFromTheStartOnMayBeLost(String one, String other) {
    ReplicaGroup group = withoutTwo(one, other);
    group.runFor(500);
    checkCommits(group, "first");
    group.runFor(10_000);
    checkCommits(group, "later");
    group.cutLinks.clear();
    group.runFor(2_000);
    assertTrue(group.voterIds().containsAll(List.of("id-" + one, "id-" + other)));
  }

  /** A majority must not depend on the disks of the three boxes that founded the cluster. */
  @Test(dataProvider = "pairs")
  public void twoOfTheFoundersMayLoseTheirDisksBeforeTheOthersAreBack(String one, String other) {
    ReplicaGroup group = withoutTwo(one, other);
    group.runFor(500);
    checkCommits(group, "first");
    List<ReplicaGroup.Box> founders =
        group.boxes.values().stream().filter(ReplicaGroup.Box::isFounder).toList();
    for (ReplicaGroup.Box lost : founders.subList(0, 2)) {
      lost.wipeDisk("id-new-" + lost.address);
      lost.start();
    }
    group.runFor(2_000);
    group.cutLinks.clear();
    group.runFor(5_000);
    checkCommits(group, "after");
    group
        .boxes
        .values()
        .forEach(box -> assertEquals(box.appliedIndex, group.leader().appliedIndex));
  }

  /** Boxes of the first start that stay away are replaced by others. */
  @Test
  public void aBoxThatIsNotOfTheFirstStartTakesTheSeatOfADarkOne() {
    ReplicaGroup group = withoutTwo("box-3", "box-4");
    group.runFor(500);
    checkCommits(group, "first");
    group.boxes.get("box-4").wipeDisk("id-replacement");
    group.boxes.get("box-4").start();
    group.cutLinks.clear();
    group.isolate("box-3");
    group.runFor(10_000);
    assertTrue(group.voterIds().contains("id-replacement"));
    checkCommits(group, "later");
    group.cutLinks.clear();
    group.runFor(5_000);
    assertEquals(
        group.voterIds(), Set.of("id-box-0", "id-box-1", "id-box-2", "id-box-3", "id-replacement"));
  }

  @Test
  public void twoHalvesFoundOneCluster() {
    ReplicaGroup group = ReplicaGroup.blank(7, 5);
    for (String one : List.of("box-0", "box-1")) {
      for (String other : List.of("box-2", "box-3", "box-4")) {
        group.cutLink(one, other);
        group.cutLink(other, one);
      }
    }
    group.runFor(1_000);
    checkCommits(group, "first");
    group.cutLinks.clear();
    group.runFor(1_000);
    assertEquals(group.voterIds().size(), 5);
    checkCommits(group, "later");
  }

  /** All boxes may have been killed before their disks showed that this was the first start. */
  @Test
  public void boxesThatForgotTheFirstStartFoundTogether() {
    ReplicaGroup group = ReplicaGroup.blank(7, 5);
    for (ReplicaGroup.Box box : group.boxes.values()) {
      box.crash();
      box.foundingId = "";
      box.start();
    }
    group.runFor(1_000);
    checkCommits(group, "first");
    assertEquals(group.voterIds().size(), 5);
  }

  @Test
  public void fourBoxesThatForgotTheFirstStartDoNotFoundWithoutTheFifth() {
    ReplicaGroup group = ReplicaGroup.blank(7, 5);
    group.boxes.get("box-4").crash();
    for (String address : List.of("box-0", "box-1", "box-2", "box-3")) {
      group.boxes.get(address).wipeDisk("id-new-" + address);
      group.boxes.get(address).start();
    }
    group.runFor(5_000);
    assertTrue(group.committed.isEmpty());
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[200][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  /**
   * Checks that boxes which are dark from the first start on, for a random time, and two lost disks
   * leave one cluster.
   */
  @Test(dataProvider = "seeds")
  public void oneClusterIsFoundedWithBoxesDarkFromTheStart(long seed) {
    ReplicaGroup group = ReplicaGroup.blank(seed, 5);
    group.isolate("box-" + group.random.nextInt(5));
    group.isolate("box-" + group.random.nextInt(5));
    int wiped = 0;
    for (int i = 0; i < 6_000; i++) {
      ReplicaGroup.Box box = group.randomBox();
      int roll = group.random.nextInt(10_000);
      if (box.replica == null) {
        if (roll < 2_000) {
          box.start();
        }
      } else if (roll < 3_000) {
        box.step(new ReplicaEvent.Tick());
      } else if (roll < 5_000) {
        box.sync();
      } else if (roll < 5_060) {
        box.crash();
      } else if (roll < 5_070 && wiped < 2) {
        box.wipeDisk("id-wiped-" + wiped++);
      } else if (roll < 5_080 && wiped == 2 && group.mayLoseDisk(box)) {
        box.wipeDisk("id-wiped-again-" + i);
      } else if (roll < 5_200) {
        group.loseRandomMessage();
      } else if (roll < 5_202) {
        group.cutLinks.clear();
      } else if (roll < 5_203) {
        group.isolate(box.address);
      } else if (roll < 5_220 && box.replica.isLeader()) {
        group.propose(box, "command " + i);
      } else {
        group.deliverRandomMessage();
      }
      group.nowMs += group.random.nextInt(3);
    }
    group.cutLinks.clear();
    group.checkRecovery();
  }

  /** Each half holds a majority of the five voters. */
  @Test
  public void twoHalvesOfMoreReplicasThanVotersFoundOneCluster() {
    ReplicaGroup group = ReplicaGroup.blank(7, 7, 5);
    for (String one : List.of("box-0", "box-1", "box-2")) {
      for (String other : List.of("box-3", "box-4", "box-5", "box-6")) {
        group.cutLink(one, other);
        group.cutLink(other, one);
      }
    }
    group.runFor(2_000);
    assertTrue(group.committed.isEmpty());
    group.cutLinks.clear();
    group.runFor(2_000);
    checkCommits(group, "first");
    assertEquals(group.voterIds().size(), 5);
  }

  /** Replicas that are more than the voters could elect two founders at once. */
  @Test(dataProvider = "seeds")
  public void moreReplicasThanVotersFoundOneCluster(long seed) {
    ReplicaGroup group = ReplicaGroup.blank(seed, 7, 5);
    for (int i = 0; i < 6_000; i++) {
      ReplicaGroup.Box box = group.randomBox();
      int roll = group.random.nextInt(1_000);
      if (box.replica == null) {
        box.start();
      } else if (roll < 300) {
        box.step(new ReplicaEvent.Tick());
      } else if (roll < 500) {
        box.sync();
      } else if (roll < 505) {
        box.crash();
      } else if (roll < 520) {
        group.loseRandomMessage();
      } else {
        group.deliverRandomMessage();
      }
      group.nowMs += group.random.nextInt(3);
    }
    group.checkRecovery();
    assertEquals(group.voterIds().size(), 5);
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
