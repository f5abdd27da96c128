package io.hingehoist.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.VoteResponse;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class ReplicaTest {

  private static ReplicaGroup formed() {
    ReplicaGroup group = new ReplicaGroup(7, 3);
    group.form();
    return group;
  }

  @Test
  public void blankReplicasJoinTheFounderAndVote() {
    assertEquals(formed().voterIds(), Set.of("id-box-0", "id-box-1", "id-box-2"));
  }

  @Test
  public void anEntryIsCommittedOnceTwoReplicasHaveSyncedIt() {
    ReplicaGroup group = formed();
    ReplicaGroup.Box leader = group.leader();
    group.addresses.stream().filter(a -> !a.equals(leader.address)).forEach(group::isolate);
    group.propose(leader, "alone");
    group.run(50);
    assertFalse(group.isCommitted("alone"));
  }

  @Test
  public void aLeaderThatHearsNobodyStepsDownAndTheOthersElect() {
    ReplicaGroup group = formed();
    ReplicaGroup.Box old = group.leader();
    group.isolate(old.address);
    group.run(1_000);
    assertFalse(old.replica.isLeader());
    assertNotEquals(group.leader().address, old.address);
  }

  @Test
  public void aLeaderThatCanSendButNotHearStepsDown() {
    ReplicaGroup group = formed();
    ReplicaGroup.Box old = group.leader();
    group.addresses.forEach(other -> group.cut(other, old.address));
    group.run(1_000);
    assertFalse(old.replica.isLeader());
    group.propose(group.leader(), "after");
    group.run(100);
    assertTrue(group.isCommitted("after"));
  }

  @Test
  public void aBoxCutOffForLongDisturbsNobodyOnItsReturn() {
    ReplicaGroup group = formed();
    ReplicaGroup.Box leader = group.leader();
    String cut = group.addresses.stream().filter(a -> !a.equals(leader.address)).findFirst().get();
    group.isolate(cut);
    group.run(20_000);
    long term = leader.replica.term();
    for (int i = 0; i < 300; i++) {
      group.propose(leader, "change-" + i);
      group.run(2);
    }
    leader.takeSnapshot();
    group.cutLinks.clear();
    group.run(2_000);
    assertEquals(leader.replica.term(), term);
    assertTrue(leader.replica.isLeader());
    assertEquals(group.boxes.get(cut).appliedIndex, leader.appliedIndex);
  }

  @Test
  public void aBoxThatHearsAnotherButNotTheLeaderDisturbsNobody() {
    ReplicaGroup group = formed();
    ReplicaGroup.Box leader = group.leader();
    String other =
        group.addresses.stream().filter(a -> !a.equals(leader.address)).findFirst().get();
    group.cut(leader.address, other);
    group.cut(other, leader.address);
    long term = leader.replica.term();
    group.run(3_000);
    assertTrue(leader.replica.isLeader());
    assertEquals(leader.replica.term(), term);
  }

  @Test
  public void aReadWaitsForARoundThatAQuorumAnswers() {
    ReplicaGroup group = formed();
    ReplicaGroup.Box leader = group.leader();
    leader.step(new ReplicaEvent.ReadRequested(41));
    assertFalse(group.readsReady.contains(41L));
    group.run(5);
    assertTrue(group.readsReady.contains(41L));
  }

  @Test
  public void aDeposedLeaderServesNoRead() {
    ReplicaGroup group = formed();
    ReplicaGroup.Box old = group.leader();
    group.isolate(old.address);
    old.step(new ReplicaEvent.ReadRequested(42));
    group.run(1_000);
    assertFalse(group.readsReady.contains(42L));
  }

  @Test
  public void aLostDiskVotesUnderANewIdentityOnly() {
    ReplicaGroup group = formed();
    ReplicaGroup.Box lost =
        group.boxes.values().stream().filter(b -> !b.replica.isLeader()).findFirst().get();
    String oldId = lost.replicaId;
    lost.wipe("id-new");
    lost.start();
    group.run(3_000);
    assertTrue(group.voterIds().contains("id-new"));
    assertFalse(group.voterIds().contains(oldId));
    assertTrue(
        group.network.stream()
            .noneMatch(e -> e.message() instanceof VoteResponse v && v.voterId().equals(oldId)));
  }

  @Test
  public void aSecondBoxMayFailOnceTheReplacedOneVotes() {
    ReplicaGroup group = formed();
    ReplicaGroup.Box leader = group.leader();
    List<ReplicaGroup.Box> others = group.boxes.values().stream().filter(b -> b != leader).toList();
    group.propose(leader, "before");
    group.run(10);
    others.get(0).wipe("id-new");
    others.get(0).start();
    group.run(3_000);
    others.get(1).crash();
    group.propose(group.leader(), "after");
    group.run(1_000);
    assertTrue(group.isCommitted("before") && group.isCommitted("after"));
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[60][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  /** Any order of delays, losses, crashes, lost disks and snapshots keeps every committed entry. */
  @Test(dataProvider = "seeds")
  public void committedEntriesStandWhateverHappens(long seed) {
    ReplicaGroup group = new ReplicaGroup(seed, 3);
    group.form();
    int proposed = 0;
    int wiped = 0;
    for (int i = 0; i < 6_000; i++) {
      List<ReplicaGroup.Box> boxes = List.copyOf(group.boxes.values());
      ReplicaGroup.Box box = boxes.get(group.random.nextInt(boxes.size()));
      int dice = group.random.nextInt(1_000);
      if (box.replica == null) {
        if (dice < 100) {
          box.start();
        }
      } else if (dice < 250) {
        box.step(new ReplicaEvent.Tick());
      } else if (dice < 450) {
        box.sync();
      } else if (dice < 550) {
        group.propose(box, "command-" + proposed++);
      } else if (dice < 553) {
        box.crash();
      } else if (dice < 556) {
        box.takeSnapshot();
      } else if (dice == 556 && group.maySpare(box) && wiped < 1) {
        box.wipe("id-wiped-" + wiped++);
      } else if (dice < 565 && !group.network.isEmpty()) {
        group.network.remove(group.random.nextInt(group.network.size()));
      } else if (!group.network.isEmpty()) {
        group.deliver(group.network.remove(group.random.nextInt(group.network.size())));
      }
      group.nowMs += group.random.nextInt(3);
    }
    group.boxes.values().stream().filter(b -> b.replica == null).forEach(ReplicaGroup.Box::start);
    group.network.clear();
    group.run(5_000);
    group.propose(group.leader(), "the last");
    group.run(500);
    assertTrue(group.isCommitted("the last"));
    long applied = group.leader().appliedIndex;
    group.boxes.values().forEach(b -> assertEquals(b.appliedIndex, applied));
  }
}
