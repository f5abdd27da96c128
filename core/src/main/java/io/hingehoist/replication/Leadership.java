package io.hingehoist.replication;

import io.hingehoist.message.AppendRequest;
import io.hingehoist.message.AppendResponse;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.JoinRequest;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.ReplicaInfo;
import io.hingehoist.message.ReplicaSet;
import io.hingehoist.message.SnapshotAck;
import io.hingehoist.message.SnapshotChunk;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The state that a replica keeps only while it leads: the progress of the other replicas, pending
 * reads, and the learners. Not thread-safe: confined to the control thread.
 */
final class Leadership {
  private static final long MAX_APPEND_BYTES = 1 << 20;
  private static final int SNAPSHOT_CHUNK_BYTES = 256 * 1024;
  private static final long MAX_UNACKED_ENTRIES = 20_000;

  /** The maximum distance of a learner from the end of the log at which it may become a voter. */
  private static final long MAX_LEARNER_LAG_ENTRIES = 100;

  /**
   * The number of election timeouts without an answer after which a voter may be removed in favor
   * of a learner at another address.
   */
  private static final long VOTER_REPLACEMENT_TIMEOUTS = 3;

  private record PendingRead(long token, long round) {}

  private final Replica replica;
  private final ReplicatedLog log;
  private final ReplicaTiming timing;
  private final LogLimits limits;
  private final long termStartIndex;
  private final Map<String, Progress> voters = new LinkedHashMap<>();
  private final Map<String, Progress> learners = new LinkedHashMap<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private long round;
  private boolean roundRequested;

  Leadership(
      Replica replica, ReplicaTiming timing, LogLimits limits, long termStartIndex, long nowMs) {
    this.replica = replica;
    this.log = replica.log();
    this.timing = timing;
    this.limits = limits;
    this.termStartIndex = termStartIndex;
    refreshVoters(nowMs);
  }

  /** Adopts the voters of the latest configuration; keeps the progress of known replicas. */
  void refreshVoters(long nowMs) {
    Map<String, Progress> previous = new LinkedHashMap<>(voters);
    voters.clear();
    for (ReplicaInfo voter : log.voters().voters()) {
      if (voter.replicaId().equals(replica.id())) {
        continue;
      }
      Progress known = previous.getOrDefault(voter.replicaId(), learners.get(voter.replicaId()));
      Progress progress =
          known != null
              ? known
              : new Progress(voter.replicaId(), voter.address(), log.lastIndex() + 1, nowMs);
      voters.put(voter.replicaId(), progress);
      learners.remove(voter.replicaId());
    }
  }

  void requestRead(long token) {
    pendingReads.add(new PendingRead(token, round + 1));
    roundRequested = true;
  }

  List<Long> pendingReadTokens() {
    return pendingReads.stream().map(PendingRead::token).toList();
  }

  /** Returns whether a quorum, this replica included, answered within an election timeout. */
  boolean hasQuorumContact(long nowMs) {
    long reachable =
        voters.values().stream()
            .filter(p -> nowMs - p.lastAckAtMs < timing.electionTimeoutMs())
            .count();
    return reachable + selfCount() >= quorumSize();
  }

  /** Returns the highest index that a quorum has synced to disk. */
  long quorumIndex() {
    return quorumValue(p -> p.matchIndex, replica.durableIndex());
  }

  private long quorumRound() {
    return quorumValue(p -> p.ackedRound, round);
  }

  private long quorumValue(java.util.function.ToLongFunction<Progress> value, long ownValue) {
    long[] values = new long[voters.size() + (int) selfCount()];
    int count = 0;
    for (Progress progress : voters.values()) {
      values[count++] = value.applyAsLong(progress);
    }
    if (count < values.length) {
      values[count] = ownValue;
    }
    Arrays.sort(values);
    return values[values.length - quorumSize()];
  }

  private long selfCount() {
    return replica.isVoter() ? 1 : 0;
  }

  private int quorumSize() {
    return log.voters().voters().size() / 2 + 1;
  }

  void onAppendResponse(AppendResponse response, long nowMs) {
    Progress progress = progressOf(response.replicaId());
    if (progress == null) {
      return;
    }
    progress.lastAckAtMs = nowMs;
    progress.ackedRound = Math.max(progress.ackedRound, response.round());
    if (response.success()) {
      progress.onAppendAccepted(response.matchIndex());
    } else {
      progress.onAppendRejected(response.matchIndex());
    }
  }

  void onSnapshotAck(SnapshotAck ack, long nowMs) {
    Progress progress = progressOf(ack.replicaId());
    if (progress == null || progress.sentSnapshot().isEmpty()) {
      return;
    }
    progress.lastAckAtMs = nowMs;
    if (ack.lastIndex() == progress.sentSnapshot().get().lastIndex()) {
      progress.snapshotOffset = ack.nextOffset();
      progress.snapshotSentAtMs = 0;
    }
  }

  private Progress progressOf(String replicaId) {
    Progress voter = voters.get(replicaId);
    return voter != null ? voter : learners.get(replicaId);
  }

  /** Adds a replica that is not a voter as a learner. */
  void onJoinRequest(JoinRequest request, long nowMs) {
    if (voters.containsKey(request.replicaId()) || request.replicaId().equals(replica.id())) {
      return;
    }
    Progress learner = learners.get(request.replicaId());
    if (learner == null) {
      learner = new Progress(request.replicaId(), request.address(), log.lastIndex() + 1, nowMs);
      learners.put(request.replicaId(), learner);
    }
    learner.lastAckAtMs = nowMs;
  }

  /** Sends missing entries, due heartbeats, and a new round for pending reads. */
  void flush(long nowMs, Consumer<ReplicaEffect> effects) {
    if (roundRequested) {
      round++;
    }
    long learnerTimeoutMs = 10 * timing.electionTimeoutMs();
    learners.values().removeIf(p -> nowMs - p.lastAckAtMs > learnerTimeoutMs);
    voters.values().stream()
        .filter(p -> !p.address.isEmpty())
        .forEach(p -> sendDue(p, nowMs, effects));
    learners.values().forEach(p -> sendDue(p, nowMs, effects));
    roundRequested = false;
  }

  private void sendDue(Progress progress, long nowMs, Consumer<ReplicaEffect> effects) {
    boolean heartbeatDue = nowMs - progress.sentAtMs >= timing.heartbeatMs();
    if (progress.nextIndex <= log.baseIndex()) {
      sendSnapshot(progress, nowMs, effects);
      if (!heartbeatDue && !roundRequested) {
        return;
      }
    }
    boolean withinWindow =
        progress.nextIndex - progress.matchIndex <= MAX_UNACKED_ENTRIES
            && unackedBytes(progress) < limits.unackedBytes();
    boolean lacksEntries =
        progress.nextIndex > log.baseIndex() && progress.nextIndex <= log.lastIndex();
    boolean sendsEntries = lacksEntries && withinWindow;
    if (!sendsEntries && !heartbeatDue && !roundRequested) {
      return;
    }
    // A replica that needs a snapshot gets its heartbeat at the base index, as the log holds no
    // earlier term.
    long prevIndex = Math.max(progress.nextIndex - 1, log.baseIndex());
    List<LogEntry> entries =
        sendsEntries ? log.slice(progress.nextIndex, MAX_APPEND_BYTES) : List.of();
    effects.accept(
        new ReplicaEffect.Send(
            progress.address,
            new AppendRequest(
                replica.term(),
                replica.id(),
                replica.address(),
                progress.replicaId,
                replica.clusterId(),
                round,
                prevIndex,
                log.termAt(prevIndex),
                entries,
                replica.commitIndex())));
    progress.nextIndex += entries.size();
    progress.sentAtMs = nowMs;
  }

  private long unackedBytes(Progress progress) {
    return log.bytesBetween(progress.matchIndex, progress.nextIndex - 1);
  }

  private void sendSnapshot(Progress progress, long nowMs, Consumer<ReplicaEffect> effects) {
    if (progress.sentSnapshot().isEmpty()) {
      progress.startSnapshot(log.snapshot());
    }
    if (nowMs - progress.snapshotSentAtMs < timing.electionTimeoutMs()
        && progress.snapshotSentAtMs > 0) {
      return;
    }
    LogSnapshot snapshot = progress.sentSnapshot().get();
    int size = snapshot.state().size();
    int from = (int) Math.min(progress.snapshotOffset, size);
    int to = Math.min(size, from + SNAPSHOT_CHUNK_BYTES);
    Bytes chunk = snapshot.state().slice(from, to);
    effects.accept(
        new ReplicaEffect.Send(
            progress.address,
            new SnapshotChunk(
                replica.term(),
                replica.id(),
                replica.address(),
                progress.replicaId,
                replica.clusterId(),
                snapshot.lastIndex(),
                snapshot.lastTerm(),
                snapshot.voters(),
                from,
                chunk,
                to == size)));
    progress.snapshotSentAtMs = nowMs;
  }

  /**
   * Emits {@link ReplicaEffect.ReadReady} for each read whose round a quorum has answered, once an
   * entry of this term is committed.
   */
  void emitReadyReads(Consumer<ReplicaEffect> effects) {
    if (replica.commitIndex() < termStartIndex) {
      return;
    }
    long answeredRound = quorumRound();
    Iterator<PendingRead> iterator = pendingReads.iterator();
    while (iterator.hasNext()) {
      PendingRead read = iterator.next();
      if (read.round() <= answeredRound) {
        iterator.remove();
        effects.accept(new ReplicaEffect.ReadReady(read.token()));
      }
    }
  }

  /**
   * Returns the next change of voters that is due, of one voter at a time. If a learner has caught
   * up, this retires vacant seats, removes an unreachable voter at the learner's address, adds the
   * learner if voters are missing, or removes the voter that has been silent for longest.
   */
  Optional<ReplicaSet> dueVoterChange(int voterCount, long nowMs) {
    boolean mayChangeVoters =
        replica.commitIndex() >= log.votersIndex() && replica.commitIndex() >= termStartIndex;
    if (!mayChangeVoters) {
      return Optional.empty();
    }
    for (Progress learner : learners.values()) {
      boolean caughtUp = learner.matchIndex + MAX_LEARNER_LAG_ENTRIES >= log.lastIndex();
      boolean inContact = nowMs - learner.lastAckAtMs < timing.electionTimeoutMs();
      if (learner.matchIndex == 0 || !caughtUp || !inContact) {
        continue;
      }
      Optional<ReplicaSet> change = voterChangeFor(learner, voterCount, nowMs);
      if (change.isPresent()) {
        return change;
      }
    }
    return Optional.empty();
  }

  private Optional<ReplicaSet> voterChangeFor(Progress learner, int voterCount, long nowMs) {
    if (Seats.vacantCount(log.voters()) > 0) {
      return isQuorumSeated(nowMs)
          ? Optional.of(Seats.retireVacant(log.voters()))
          : Optional.empty();
    }
    List<ReplicaInfo> nextVoters = new ArrayList<>(log.voters().voters());
    Optional<Progress> voterAtAddress =
        voters.values().stream().filter(p -> p.address.equals(learner.address)).findFirst();
    if (voterAtAddress.isPresent()) {
      Progress unreachable = voterAtAddress.get();
      if (nowMs - unreachable.lastAckAtMs < timing.electionTimeoutMs()) {
        return Optional.empty();
      }
      nextVoters.removeIf(voter -> voter.replicaId().equals(unreachable.replicaId));
      return Optional.of(new ReplicaSet(nextVoters));
    }
    if (nextVoters.size() >= voterCount) {
      return removeSilentVoter(nextVoters, nowMs);
    }
    nextVoters.add(new ReplicaInfo(learner.replicaId, learner.address));
    return Optional.of(new ReplicaSet(nextVoters));
  }

  /**
   * Returns whether the voters with a seat of their own are a quorum, without those whose disk was
   * lost. Otherwise the replicas that may take the vacant seats are needed.
   */
  private boolean isQuorumSeated(long nowMs) {
    long seated =
        voters.values().stream()
            .filter(p -> !p.address.isEmpty())
            .filter(p -> nowMs - p.lastAckAtMs < timing.electionTimeoutMs())
            .filter(p -> learners.values().stream().noneMatch(l -> l.address.equals(p.address)))
            .count();
    return seated + selfCount() >= quorumSize();
  }

  /**
   * Returns the voters without a retired seat, or without the voter that has been silent for
   * longest, to make room for a learner; empty if no voter has timed out.
   */
  private Optional<ReplicaSet> removeSilentVoter(List<ReplicaInfo> nextVoters, long nowMs) {
    Optional<Progress> longestSilent =
        voters.values().stream()
            .filter(
                p ->
                    p.address.isEmpty()
                        || nowMs - p.lastAckAtMs
                            >= VOTER_REPLACEMENT_TIMEOUTS * timing.electionTimeoutMs())
            .min(
                Comparator.comparing((Progress p) -> !p.address.isEmpty())
                    .thenComparingLong(p -> p.lastAckAtMs));
    if (longestSilent.isEmpty()) {
      return Optional.empty();
    }
    nextVoters.removeIf(voter -> voter.replicaId().equals(longestSilent.get().replicaId));
    return Optional.of(new ReplicaSet(nextVoters));
  }

  /** Returns the ids and addresses of the learners, for reports. */
  List<ReplicaInfo> learners() {
    return learners.values().stream().map(p -> new ReplicaInfo(p.replicaId, p.address)).toList();
  }
}
