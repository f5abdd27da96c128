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
 * What a replica keeps only while it leads: the progress of the others, read rounds, and replicas
 * that want to join. Owned by its {@link Replica}.
 */
final class Leadership {
  private static final long MAX_APPEND_BYTES = 1 << 20;
  private static final int SNAPSHOT_CHUNK_BYTES = 256 * 1024;
  private static final long MAX_UNACKED_ENTRIES = 20_000;

  /** A learner this close to the end of the log may become a voter. */
  private static final long CAUGHT_UP_ENTRIES = 100;

  /** A voter that is silent for so many election timeouts makes room for a learner elsewhere. */
  private static final long REPLACE_AFTER_TIMEOUTS = 3;

  private record Read(long token, long round) {}

  private final Replica replica;
  private final ReplicatedLog log;
  private final ReplicaTiming timing;
  private final long termStartIndex;
  private final Map<String, Progress> voters = new LinkedHashMap<>();
  private final Map<String, Progress> learners = new LinkedHashMap<>();
  private final List<Read> reads = new ArrayList<>();
  private long round;
  private boolean roundWanted;

  Leadership(Replica replica, ReplicaTiming timing, long termStartIndex, long nowMs) {
    this.replica = replica;
    this.log = replica.log();
    this.timing = timing;
    this.termStartIndex = termStartIndex;
    refreshVoters(nowMs);
  }

  /** Follows the latest configuration; keeps the progress of those that stay. */
  void refreshVoters(long nowMs) {
    Map<String, Progress> before = new LinkedHashMap<>(voters);
    voters.clear();
    for (ReplicaInfo voter : log.voters().voters()) {
      if (voter.replicaId().equals(replica.id())) {
        continue;
      }
      Progress known = before.getOrDefault(voter.replicaId(), learners.get(voter.replicaId()));
      Progress progress =
          known != null
              ? known
              : new Progress(voter.replicaId(), voter.address(), log.lastIndex() + 1, nowMs);
      voters.put(voter.replicaId(), progress);
      learners.remove(voter.replicaId());
    }
  }

  void requestRead(long token) {
    reads.add(new Read(token, round + 1));
    roundWanted = true;
  }

  List<Long> pendingReadTokens() {
    return reads.stream().map(Read::token).toList();
  }

  /** Returns whether a quorum, this replica included, answered within an election timeout. */
  boolean hasQuorumContact(long nowMs) {
    long heard =
        voters.values().stream()
            .filter(p -> nowMs - p.lastAckMs < timing.electionTimeoutMs())
            .count();
    return heard + selfVote() >= quorum();
  }

  /** Returns the highest index that a quorum has synced. */
  long quorumIndex() {
    return quorumValue(p -> p.matchIndex, replica.durableIndex());
  }

  private long quorumRound() {
    return quorumValue(p -> p.ackedRound, round);
  }

  private long quorumValue(java.util.function.ToLongFunction<Progress> value, long own) {
    long[] values = new long[voters.size() + (int) selfVote()];
    int count = 0;
    for (Progress progress : voters.values()) {
      values[count++] = value.applyAsLong(progress);
    }
    if (count < values.length) {
      values[count] = own;
    }
    Arrays.sort(values);
    return values[values.length - quorum()];
  }

  private long selfVote() {
    return replica.isVoter() ? 1 : 0;
  }

  private int quorum() {
    return log.voters().voters().size() / 2 + 1;
  }

  void onAppendResponse(AppendResponse response, long nowMs) {
    Progress progress = progressOf(response.replicaId());
    if (progress == null) {
      return;
    }
    progress.lastAckMs = nowMs;
    progress.ackedRound = Math.max(progress.ackedRound, response.round());
    if (response.success()) {
      progress.succeed(response.matchIndex());
    } else {
      progress.fail(response.matchIndex());
    }
  }

  void onSnapshotAck(SnapshotAck ack, long nowMs) {
    Progress progress = progressOf(ack.replicaId());
    if (progress == null || !progress.isReceivingSnapshot()) {
      return;
    }
    progress.lastAckMs = nowMs;
    if (ack.lastIndex() == log.snapshot().lastIndex()) {
      progress.snapshotOffset = ack.nextOffset();
      progress.snapshotSentAtMs = 0;
    }
  }

  private Progress progressOf(String replicaId) {
    Progress voter = voters.get(replicaId);
    return voter != null ? voter : learners.get(replicaId);
  }

  /** Takes in a replica that nobody leads, as a learner. */
  void onJoinRequest(JoinRequest request, long nowMs) {
    if (voters.containsKey(request.replicaId()) || request.replicaId().equals(replica.id())) {
      return;
    }
    Progress learner = learners.get(request.replicaId());
    if (learner == null) {
      learner = new Progress(request.replicaId(), request.address(), log.lastIndex() + 1, nowMs);
      learners.put(request.replicaId(), learner);
    }
    learner.lastAckMs = nowMs;
  }

  /** Sends what each replica lacks, heartbeats that are due, and a round for waiting reads. */
  void flush(long nowMs, Consumer<ReplicaEffect> effects) {
    if (roundWanted) {
      round++;
    }
    long silentMs = 10 * timing.electionTimeoutMs();
    learners.values().removeIf(p -> nowMs - p.lastAckMs > silentMs);
    voters.values().forEach(p -> sendTo(p, nowMs, effects));
    learners.values().forEach(p -> sendTo(p, nowMs, effects));
    roundWanted = false;
  }

  private void sendTo(Progress progress, long nowMs, Consumer<ReplicaEffect> effects) {
    boolean heartbeatDue = nowMs - progress.sentAtMs >= timing.heartbeatMs();
    if (progress.nextIndex <= log.baseIndex()) {
      sendSnapshot(progress, nowMs, effects);
      if (!heartbeatDue && !roundWanted) {
        return;
      }
    }
    boolean windowOpen = progress.nextIndex - progress.matchIndex <= MAX_UNACKED_ENTRIES;
    boolean lacksEntries =
        progress.nextIndex > log.baseIndex() && progress.nextIndex <= log.lastIndex();
    boolean sendsEntries = lacksEntries && windowOpen;
    if (!sendsEntries && !heartbeatDue && !roundWanted) {
      return;
    }
    // A replica in need of a snapshot gets its heartbeat at the snapshot's index.
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

  private void sendSnapshot(Progress progress, long nowMs, Consumer<ReplicaEffect> effects) {
    if (!progress.isReceivingSnapshot()) {
      progress.snapshotOffset = 0;
      progress.snapshotSentAtMs = 0;
    }
    if (nowMs - progress.snapshotSentAtMs < timing.electionTimeoutMs()
        && progress.snapshotSentAtMs > 0) {
      return;
    }
    LogSnapshot snapshot = log.snapshot();
    int size = snapshot.state().size();
    int from = (int) Math.min(progress.snapshotOffset, size);
    int to = Math.min(size, from + SNAPSHOT_CHUNK_BYTES);
    Bytes piece = snapshot.state().slice(from, to);
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
                piece,
                to == size)));
    progress.snapshotSentAtMs = nowMs;
  }

  /** Emits the reads whose round a quorum has answered, once this term has committed an entry. */
  void releaseReads(Consumer<ReplicaEffect> effects) {
    if (replica.commitIndex() < termStartIndex) {
      return;
    }
    long answered = quorumRound();
    Iterator<Read> waiting = reads.iterator();
    while (waiting.hasNext()) {
      Read read = waiting.next();
      if (read.round() <= answered) {
        waiting.remove();
        effects.accept(new ReplicaEffect.ReadReady(read.token()));
      }
    }
  }

  /**
   * Returns the next single change of voters that is due: a caught-up learner takes the place of a
   * silent voter at its own address, an empty place, or that of a voter that is long silent.
   */
  Optional<ReplicaSet> dueVoterChange(int voterCount, long nowMs) {
    boolean settled =
        replica.commitIndex() >= log.votersIndex() && replica.commitIndex() >= termStartIndex;
    if (!settled) {
      return Optional.empty();
    }
    for (Progress learner : learners.values()) {
      boolean caughtUp = learner.matchIndex + CAUGHT_UP_ENTRIES >= log.lastIndex();
      boolean inContact = nowMs - learner.lastAckMs < timing.electionTimeoutMs();
      if (learner.matchIndex == 0 || !caughtUp || !inContact) {
        continue;
      }
      Optional<ReplicaSet> change = changeFor(learner, voterCount, nowMs);
      if (change.isPresent()) {
        return change;
      }
    }
    return Optional.empty();
  }

  private Optional<ReplicaSet> changeFor(Progress learner, int voterCount, long nowMs) {
    List<ReplicaInfo> next = new ArrayList<>(log.voters().voters());
    Optional<Progress> sameAddress =
        voters.values().stream().filter(p -> p.address.equals(learner.address)).findFirst();
    if (sameAddress.isPresent()) {
      Progress replaced = sameAddress.get();
      if (nowMs - replaced.lastAckMs < timing.electionTimeoutMs()) {
        return Optional.empty();
      }
      next.removeIf(voter -> voter.replicaId().equals(replaced.replicaId));
      return Optional.of(new ReplicaSet(next));
    }
    if (next.size() >= voterCount) {
      return withoutSilent(next, nowMs);
    }
    next.add(new ReplicaInfo(learner.replicaId, learner.address));
    return Optional.of(new ReplicaSet(next));
  }

  /** Makes a place for a learner by removing the voter that has been silent for longest. */
  private Optional<ReplicaSet> withoutSilent(List<ReplicaInfo> next, long nowMs) {
    Optional<Progress> silent =
        voters.values().stream()
            .filter(p -> nowMs - p.lastAckMs >= REPLACE_AFTER_TIMEOUTS * timing.electionTimeoutMs())
            .min(Comparator.comparingLong(p -> p.lastAckMs));
    if (silent.isEmpty()) {
      return Optional.empty();
    }
    next.removeIf(voter -> voter.replicaId().equals(silent.get().replicaId));
    return Optional.of(new ReplicaSet(next));
  }

  /** Returns the learners' identities, for reports. */
  List<ReplicaInfo> learners() {
    return learners.values().stream().map(p -> new ReplicaInfo(p.replicaId, p.address)).toList();
  }
}
