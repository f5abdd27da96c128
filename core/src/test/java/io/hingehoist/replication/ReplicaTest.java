package io.hingehoist.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.AppendRequest;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.ReplicaInfo;
import io.hingehoist.message.ReplicaSet;
import io.hingehoist.message.SnapshotChunk;
import io.hingehoist.message.VoteResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class ReplicaTest {

  private static ReplicaGroup formedGroup() {
    ReplicaGroup group = new ReplicaGroup(7, 3);
    group.formCluster();
    return group;
  }

  @Test
  public void blankReplicasJoinTheFounderAndVote() {
    assertEquals(formedGroup().voterIds(), Set.of("id-box-0", "id-box-1", "id-box-2"));
  }

  @Test
  public void anEntryIsCommittedOnceTwoReplicasHaveSyncedIt() {
    ReplicaGroup group = formedGroup();
    ReplicaGroup.Box leader = group.leader();
    group.addresses.stream().filter(a -> !a.equals(leader.address)).forEach(group::isolate);
    group.propose(leader, "alone");
    group.runFor(50);
    assertFalse(group.isCommitted("alone"));
  }

  @Test
  public void aLeaderWithoutQuorumContactStepsDownAndTheOthersElectAnother() {
    ReplicaGroup group = formedGroup();
    ReplicaGroup.Box old = group.leader();
    group.isolate(old.address);
    group.runFor(1_000);
    assertFalse(old.replica.isLeader());
    assertNotEquals(group.leader().address, old.address);
  }

  @Test
  public void aLeaderThatCanSendButNotReceiveStepsDown() {
    ReplicaGroup group = formedGroup();
    ReplicaGroup.Box old = group.leader();
    group.addresses.forEach(other -> group.cutLink(other, old.address));
    group.runFor(1_000);
    assertFalse(old.replica.isLeader());
    group.propose(group.leader(), "after");
    group.runFor(100);
    assertTrue(group.isCommitted("after"));
  }

  @Test
  public void aReplicaReturningFromALongPartitionDoesNotDisruptTheLeader() {
    ReplicaGroup group = formedGroup();
    ReplicaGroup.Box leader = group.leader();
    String partitioned =
        group.addresses.stream().filter(a -> !a.equals(leader.address)).findFirst().get();
    group.isolate(partitioned);
    group.runFor(20_000);
    long term = leader.replica.term();
    for (int i = 0; i < 300; i++) {
      group.propose(leader, "change-" + i);
      group.runFor(2);
    }
    leader.takeSnapshot();
    group.cutLinks.clear();
    group.runFor(2_000);
    assertEquals(leader.replica.term(), term);
    assertTrue(leader.replica.isLeader());
    assertEquals(group.boxes.get(partitioned).appliedIndex, leader.appliedIndex);
  }

  @Test
  public void aReplicaThatReachesOnlyAFollowerDoesNotDisruptTheLeader() {
    ReplicaGroup group = formedGroup();
    ReplicaGroup.Box leader = group.leader();
    String other =
        group.addresses.stream().filter(a -> !a.equals(leader.address)).findFirst().get();
    group.cutLink(leader.address, other);
    group.cutLink(other, leader.address);
    long term = leader.replica.term();
    group.runFor(3_000);
    assertTrue(leader.replica.isLeader());
    assertEquals(leader.replica.term(), term);
  }

  @Test
  public void aReadIsServedOnlyAfterAQuorumAnswersItsRound() {
    ReplicaGroup group = formedGroup();
    ReplicaGroup.Box leader = group.leader();
    leader.step(new ReplicaEvent.ReadRequested(41));
    assertFalse(group.readyReads.contains(41L));
    group.runFor(5);
    assertTrue(group.readyReads.contains(41L));
  }

  @Test
  public void aDeposedLeaderServesNoRead() {
    ReplicaGroup group = formedGroup();
    ReplicaGroup.Box old = group.leader();
    group.isolate(old.address);
    old.step(new ReplicaEvent.ReadRequested(42));
    group.runFor(1_000);
    assertFalse(group.readyReads.contains(42L));
  }

  @Test
  public void aReplicaWithALostDiskVotesOnlyUnderANewIdentity() {
    ReplicaGroup group = formedGroup();
    ReplicaGroup.Box lost =
        group.boxes.values().stream().filter(b -> !b.replica.isLeader()).findFirst().get();
    String oldId = lost.replicaId;
    lost.wipeDisk("id-new");
    lost.start();
    group.runFor(3_000);
    assertTrue(group.voterIds().contains("id-new"));
    assertFalse(group.voterIds().contains(oldId));
    assertTrue(
        group.network.stream()
            .noneMatch(e -> e.message() instanceof VoteResponse v && v.voterId().equals(oldId)));
  }

  @Test
  public void aSecondReplicaMayFailOnceTheReplacementVotes() {
    ReplicaGroup group = formedGroup();
    ReplicaGroup.Box leader = group.leader();
    List<ReplicaGroup.Box> others = group.boxes.values().stream().filter(b -> b != leader).toList();
    group.propose(leader, "before");
    group.runFor(10);
    others.get(0).wipeDisk("id-new");
    others.get(0).start();
    group.runFor(3_000);
    others.get(1).crash();
    group.propose(group.leader(), "after");
    group.runFor(1_000);
    assertTrue(group.isCommitted("before") && group.isCommitted("after"));
  }

  /**
   * A new replica never caught up while the leader took snapshots faster than it could send one.
   */
  @Test
  public void aTransferContinuesWithItsSnapshotWhenTheLeaderTakesAnother() {
    LogLimits limits = new LogLimits(1, 1, 1_000_000, 1_000_000);
    ReplicaGroup group = new ReplicaGroup(7, 3, limits);
    group.stateBytes = 3_000_000;
    group.formCluster();
    ReplicaGroup.Box leader = group.leader();
    ReplicaGroup.Box behind =
        group.boxes.values().stream().filter(b -> b != leader).findFirst().get();
    behind.crash();
    for (int i = 0; i < 20; i++) {
      group.propose(leader, "before-" + i);
      group.runFor(10);
    }
    leader.takeSnapshot();
    behind.start();
    for (int i = 0; i < 100 && behind.appliedIndex < 20; i++) {
      group.propose(leader, "meanwhile-" + i);
      group.runFor(5);
      leader.takeSnapshot();
    }
    assertTrue(behind.appliedIndex >= 20, "applied " + behind.appliedIndex);
  }

  /** Entries that a replica had acknowledged were lost when it installed a snapshot before them. */
  @Test
  public void anInstalledSnapshotKeepsTheSyncedEntriesAfterIt() {
    Replica replica = replicaWithEntries(10);
    replica.step(new ReplicaEvent.Received(snapshotChunk(5, 1)), 0);
    assertEquals(replica.commitIndex(), 5);
    assertEquals(replica.lastIndex(), 10);
    assertEquals(replica.entriesAfter(5).size(), 5);
  }

  @Test
  public void anInstalledSnapshotDiscardsEntriesOfAnotherHistory() {
    Replica replica = replicaWithEntries(10);
    replica.step(new ReplicaEvent.Received(snapshotChunk(5, 2)), 0);
    assertEquals(replica.lastIndex(), 5);
  }

  private static Replica replicaWithEntries(int count) {
    List<LogEntry> entries = new ArrayList<>();
    for (int index = 1; index <= count; index++) {
      entries.add(new LogEntry(1, index, EntryKind.COMMAND, 0, Bytes.empty()));
    }
    return Replica.create(
        new Membership("id", "box-0", "cluster", List.of("box-0", "box-1", "box-2"), 3, false, ""),
        ReplicaGroup.TIMING,
        SMALL_LIMITS,
        new Random(1),
        new DurableState(1, "", LogSnapshot.empty(), entries),
        0);
  }

  private static SnapshotChunk snapshotChunk(long lastIndex, long lastTerm) {
    ReplicaSet voters = new ReplicaSet(List.of(new ReplicaInfo("id", "box-0")));
    return new SnapshotChunk(
        3, "leader", "box-1", "id", "cluster", lastIndex, lastTerm, voters, 0, Bytes.empty(), true);
  }

  private static final LogLimits SMALL_LIMITS = new LogLimits(100, 100, 100, 100);

  /** A replica ran out of memory, as it retained a number of entries of any size. */
  @Test
  public void largeEntriesAreRetainedUpToALimitInBytes() {
    ReplicaGroup group = new ReplicaGroup(7, 3, SMALL_LIMITS);
    group.formCluster();
    ReplicaGroup.Box leader = group.leader();
    for (int i = 0; i < 50; i++) {
      group.propose(leader, "a command of thirty bytes " + (1_000 + i));
      group.runFor(10);
    }
    assertTrue(leader.replica.logBytes() > SMALL_LIMITS.retainedBytes());
    leader.takeSnapshot();
    assertTrue(leader.replica.logBytes() <= SMALL_LIMITS.retainedBytes());
  }

  /** A leader ran out of memory, as it accepted proposals of any size that it could not commit. */
  @Test
  public void aLeaderHasNoRoomForProposalsBeyondItsUncommittedLimit() {
    ReplicaGroup group = new ReplicaGroup(7, 3, SMALL_LIMITS);
    group.formCluster();
    ReplicaGroup.Box leader = group.leader();
    assertTrue(leader.replica.hasRoomFor(1_000));
    group.propose(leader, "a command of sixty bytes, not yet committed by any other one");
    assertTrue(leader.replica.hasRoomFor(40));
    assertFalse(leader.replica.hasRoomFor(41));
    group.runFor(10);
    assertTrue(leader.replica.hasRoomFor(41));
  }

  /** The queue to a replica that does not answer held entries of any size. */
  @Test
  public void aReplicaThatDoesNotAnswerIsSentEntriesUpToALimitInBytes() {
    ReplicaGroup group = new ReplicaGroup(7, 3, SMALL_LIMITS);
    group.formCluster();
    ReplicaGroup.Box leader = group.leader();
    String silent =
        group.addresses.stream().filter(a -> !a.equals(leader.address)).findFirst().get();
    group.cutLink(silent, leader.address);
    long sentBytes = 0;
    for (int i = 0; i < 40; i++) {
      group.propose(leader, "a command of thirty bytes " + (1_000 + i));
      sentBytes += bytesOnTheWayTo(group, silent);
      group.runFor(1);
    }
    assertTrue(sentBytes > 0 && sentBytes <= SMALL_LIMITS.unackedBytes() + 30, "" + sentBytes);
  }

  private static long bytesOnTheWayTo(ReplicaGroup group, String address) {
    return group.network.stream()
        .filter(envelope -> envelope.to().equals(address))
        .flatMap(
            envelope ->
                envelope.message() instanceof AppendRequest request
                    ? request.entries().stream()
                    : Stream.empty())
        .mapToLong(entry -> entry.body().size())
        .sum();
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[60][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  /**
   * Checks that every committed entry survives a random sequence of delays, message losses,
   * crashes, lost disks and snapshots.
   */
  @Test(dataProvider = "seeds")
  public void committedEntriesSurviveRandomFaults(long seed) {
    checkRandomFaults(new ReplicaGroup(seed, 3));
  }

  /** Checks the same with limits at which most transfers need several snapshots and requests. */
  @Test(dataProvider = "seeds")
  public void committedEntriesSurviveRandomFaultsWithSmallLimits(long seed) {
    checkRandomFaults(new ReplicaGroup(seed, 3, SMALL_LIMITS));
  }

  private static void checkRandomFaults(ReplicaGroup group) {
    group.formCluster();
    int proposed = 0;
    int wiped = 0;
    for (int i = 0; i < 6_000; i++) {
      ReplicaGroup.Box box = group.randomBox();
      int roll = group.random.nextInt(1_000);
      if (box.replica == null) {
        if (roll < 100) {
          box.start();
        }
      } else if (roll < 250) {
        box.step(new ReplicaEvent.Tick());
      } else if (roll < 450) {
        box.sync();
      } else if (roll < 550) {
        group.propose(box, "command-" + proposed++);
      } else if (roll < 553) {
        box.crash();
      } else if (roll < 556) {
        box.takeSnapshot();
      } else if (roll == 556 && group.mayLoseDisk(box) && wiped < 1) {
        box.wipeDisk("id-wiped-" + wiped++);
      } else if (roll < 565) {
        group.loseRandomMessage();
      } else {
        group.deliverRandomMessage();
      }
      group.nowMs += group.random.nextInt(3);
    }
    group.checkRecovery();
  }
}
