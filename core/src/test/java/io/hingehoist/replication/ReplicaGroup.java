package io.hingehoist.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.Message;
import io.hingehoist.message.ReplicaInfo;
import io.hingehoist.message.ReplicaSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A simulated group of replicas with their disks and network. The test controls time and the order
 * of messages.
 */
final class ReplicaGroup {
  static final ReplicaTiming TIMING = ReplicaTiming.of(100, 20);

  private static final LogLimits LARGE_LIMITS =
      new LogLimits(1_000_000, 1_000_000, 1_000_000, 1_000_000);

  /** The maximum number of messages in flight; each further message drops a random one. */
  private static final int MAX_IN_FLIGHT = 200;

  /** A message in flight. */
  record Envelope(String from, String to, Message message) {}

  /** A box with a disk, which survives a crash, and a replica, which does not. */
  final class Box {
    final String address;
    String replicaId;
    String clusterId = "";

    /** Not empty while the box has the disk of the first start. */
    String foundingId = foundsItself ? "founded" : "";

    long term;
    String votedFor = "";
    LogSnapshot snapshot = LogSnapshot.empty();
    TreeMap<Long, LogEntry> entries = new TreeMap<>();
    Replica replica;
    long appliedIndex;
    private final List<ReplicaEffect> unsynced = new ArrayList<>();
    private final List<ReplicaEffect.SendAfterSync> afterSync = new ArrayList<>();

    Box(String address, String replicaId) {
      this.address = address;
      this.replicaId = replicaId;
    }

    void start() {
      DurableState durable =
          new DurableState(term, votedFor, snapshot, List.copyOf(entries.values()));
      replica =
          Replica.create(
              new Membership(
                  replicaId, address, clusterId, addresses, voterCount, mayFound(), foundingId),
              TIMING,
              limits,
              random,
              durable,
              nowMs);
      appliedIndex = snapshot.lastIndex();
    }

    private boolean mayFound() {
      return foundsItself && address.equals(addresses.getFirst());
    }

    /** Returns whether the box has a disk with entries that was not lost. */
    boolean isFounder() {
      return !foundingId.isEmpty() && !entries.isEmpty();
    }

    /** Ends the replica and discards its unsynced writes. */
    void crash() {
      replica = null;
      unsynced.clear();
      afterSync.clear();
    }

    /** Crashes the box and erases its disk; the box restarts under another identity. */
    void wipeDisk(String newReplicaId) {
      crash();
      replicaId = newReplicaId;
      clusterId = "";
      foundingId = "";
      term = 0;
      votedFor = "";
      snapshot = LogSnapshot.empty();
      entries.clear();
    }

    void step(ReplicaEvent event) {
      carryOut(replica.step(event, nowMs));
      carryOut(replica.flush(nowMs));
    }

    private void carryOut(List<ReplicaEffect> effects) {
      for (ReplicaEffect effect : effects) {
        carryOut(effect);
      }
    }

    private void carryOut(ReplicaEffect effect) {
      switch (effect) {
        case ReplicaEffect.Send send -> enqueue(this, send.address(), send.message());
        case ReplicaEffect.SendAfterSync send -> afterSync.add(send);
        case ReplicaEffect.SaveVote vote -> unsynced.add(vote);
        case ReplicaEffect.Append append -> unsynced.add(append);
        case ReplicaEffect.Truncate truncate -> unsynced.add(truncate);
        case ReplicaEffect.Install install -> {
          sync();
          snapshot = install.snapshot();
          entries.clear();
          replica.entriesAfter(snapshot.lastIndex()).forEach(e -> entries.put(e.index(), e));
          appliedIndex = snapshot.lastIndex();
        }
        case ReplicaEffect.JoinCluster join -> clusterId = join.clusterId();
        case ReplicaEffect.FoundCluster found -> clusterId = found.clusterId();
        case ReplicaEffect.Apply apply -> recordApplied(this, apply.entry());
        case ReplicaEffect.Accepted accepted -> {}
        case ReplicaEffect.Rejected rejected -> {}
        case ReplicaEffect.ReadReady ready -> readyReads.add(ready.token());
        case ReplicaEffect.RoleChanged changed -> {
          if (changed.role() == ReplicaRole.LEADER) {
            String before = leaders.putIfAbsent(changed.term(), replicaId);
            assertEquals(before == null ? replicaId : before, replicaId, "two leaders in a term");
          }
        }
      }
    }

    /**
     * Writes all pending effects to the disk, then sends the messages that had to wait for the
     * sync.
     */
    void sync() {
      boolean wrote = !unsynced.isEmpty();
      for (ReplicaEffect effect : unsynced) {
        switch (effect) {
          case ReplicaEffect.SaveVote vote -> {
            term = vote.term();
            votedFor = vote.votedFor();
          }
          case ReplicaEffect.Append append ->
              append.entries().forEach(e -> entries.put(e.index(), e));
          case ReplicaEffect.Truncate truncate ->
              entries.tailMap(truncate.fromIndex(), true).clear();
          default -> throw new IllegalStateException("not a disk write: " + effect);
        }
      }
      unsynced.clear();
      List<ReplicaEffect.SendAfterSync> due = List.copyOf(afterSync);
      afterSync.clear();
      due.forEach(send -> enqueue(this, send.address(), send.message()));
      if (wrote) {
        step(new ReplicaEvent.Persisted(replica.lastIndex()));
      }
    }

    void takeSnapshot() {
      if (appliedIndex <= snapshot.lastIndex()) {
        return;
      }
      sync();
      ReplicaSet voters = replica.votersAt(appliedIndex);
      Bytes state = Bytes.copyOf(new byte[stateBytes]);
      snapshot = new LogSnapshot(appliedIndex, replica.termAt(appliedIndex), voters, state);
      entries.headMap(appliedIndex, true).clear();
      step(new ReplicaEvent.SnapshotSaved(snapshot));
    }
  }

  final Random random;
  final LogLimits limits;
  private final boolean foundsItself;
  private final int voterCount;
  final List<String> addresses;
  final Map<String, Box> boxes = new TreeMap<>();
  final List<Envelope> network = new ArrayList<>();
  final Set<String> cutLinks = new HashSet<>();
  final Map<Long, LogEntry> committed = new HashMap<>();
  final Map<Long, String> leaders = new HashMap<>();
  final Set<Long> readyReads = new TreeSet<>();
  long nowMs = 1_000;

  /** The size of the state in a snapshot. */
  int stateBytes;

  ReplicaGroup(long seed, int size) {
    this(seed, size, LARGE_LIMITS);
  }

  ReplicaGroup(long seed, int size, LogLimits limits) {
    this(seed, size, size, limits, false);
  }

  /** Returns a group of blank replicas, of which the first may found a cluster. */
  static ReplicaGroup blank(long seed, int size) {
    return new ReplicaGroup(seed, size, size, LARGE_LIMITS, true);
  }

  /** Returns a group of blank replicas that are more than the voters of their cluster. */
  static ReplicaGroup blank(long seed, int size, int voterCount) {
    return new ReplicaGroup(seed, size, voterCount, LARGE_LIMITS, true);
  }

  private ReplicaGroup(
      long seed, int size, int voterCount, LogLimits limits, boolean foundsItself) {
    this.voterCount = voterCount;
    this.limits = limits;
    this.foundsItself = foundsItself;
    random = new Random(seed);
    List<String> boxAddresses = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      boxAddresses.add("box-" + i);
    }
    addresses = List.copyOf(boxAddresses);
    for (String address : addresses) {
      boxes.put(address, new Box(address, "id-" + address));
    }
    if (!foundsItself) {
      Box founder = boxes.get("box-0");
      founder.clusterId = "cluster";
      founder.term = 1;
      founder.entries.put(1L, Replica.foundingEntry(founder.replicaId, founder.address, 0));
    }
    boxes.values().forEach(Box::start);
  }

  private void enqueue(Box from, String to, Message message) {
    if (network.size() >= MAX_IN_FLIGHT) {
      network.remove(random.nextInt(network.size()));
    }
    network.add(new Envelope(from.address, to, message));
  }

  private void recordApplied(Box box, LogEntry entry) {
    assertEquals(entry.index(), box.appliedIndex + 1, "entries are applied in order");
    LogEntry first = committed.putIfAbsent(entry.index(), entry);
    assertEquals(entry, first == null ? entry : first, "a committed entry differs");
    box.appliedIndex = entry.index();
  }

  void deliver(Envelope envelope) {
    Box to = boxes.get(envelope.to());
    boolean linkIsCut = cutLinks.contains(envelope.from() + ">" + envelope.to());
    if (!linkIsCut && to.replica != null) {
      to.step(new ReplicaEvent.Received(envelope.message()));
    }
  }

  void cutLink(String from, String to) {
    cutLinks.add(from + ">" + to);
  }

  /** Cuts the links between a box and all others, in both directions. */
  void isolate(String address) {
    for (String other : addresses) {
      cutLink(address, other);
      cutLink(other, address);
    }
  }

  /**
   * Simulates a number of milliseconds: in each, every replica gets a tick and a sync, and all
   * messages are delivered in order.
   */
  void runFor(long durationMs) {
    for (long end = nowMs + durationMs; nowMs < end; nowMs++) {
      for (Box box : boxes.values()) {
        if (box.replica != null) {
          box.step(new ReplicaEvent.Tick());
          box.sync();
        }
      }
      List<Envelope> due = List.copyOf(network);
      network.clear();
      due.forEach(this::deliver);
    }
  }

  Box randomBox() {
    List<Box> all = List.copyOf(boxes.values());
    return all.get(random.nextInt(all.size()));
  }

  /** Loses a random message, if any is in flight. */
  void loseRandomMessage() {
    if (!network.isEmpty()) {
      network.remove(random.nextInt(network.size()));
    }
  }

  /** Delivers a random message, if any is in flight. */
  void deliverRandomMessage() {
    if (!network.isEmpty()) {
      deliver(network.remove(random.nextInt(network.size())));
    }
  }

  /** Restarts crashed boxes, and checks that a further command is committed and applied by all. */
  void checkRecovery() {
    boxes.values().stream().filter(box -> box.replica == null).forEach(Box::start);
    network.clear();
    runFor(5_000);
    propose(leader(), "the last");
    runFor(500);
    assertTrue(isCommitted("the last"));
    long applied = leader().appliedIndex;
    boxes.values().forEach(box -> assertEquals(box.appliedIndex, applied));
  }

  Box leader() {
    return boxes.values().stream()
        .filter(box -> box.replica != null && box.replica.isLeader())
        .max((a, b) -> Long.compare(a.replica.term(), b.replica.term()))
        .orElseThrow();
  }

  void propose(Box box, String command) {
    Bytes body = Bytes.copyOf(command.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    box.step(new ReplicaEvent.Proposed(0, body, 0));
  }

  boolean isCommitted(String command) {
    Bytes body = Bytes.copyOf(command.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    return committed.values().stream().anyMatch(entry -> entry.body().equals(body));
  }

  Set<String> voterIds() {
    Set<String> ids = new TreeSet<>();
    for (ReplicaInfo voter : leader().replica.voters()) {
      ids.add(voter.replicaId());
    }
    return ids;
  }

  /** Forms the cluster: runs until every box is a voter. */
  void formCluster() {
    runFor(2_000);
    assertEquals(voterIds().size(), addresses.size());
  }

  /**
   * Returns whether a box may lose its disk: all replicas run as voters, and the configuration is
   * complete.
   */
  boolean mayLoseDisk(Box box) {
    return boxes.values().stream().allMatch(b -> b.replica != null && b.replica.isVoter())
        && box.replica.voters().size() == addresses.size();
  }
}
