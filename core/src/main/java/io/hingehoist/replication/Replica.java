package io.hingehoist.replication;

import io.hingehoist.message.AppendRequest;
import io.hingehoist.message.AppendResponse;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.JoinRequest;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.Message;
import io.hingehoist.message.ReplicaInfo;
import io.hingehoist.message.ReplicaSet;
import io.hingehoist.message.SnapshotAck;
import io.hingehoist.message.SnapshotChunk;
import io.hingehoist.message.VoteRequest;
import io.hingehoist.message.VoteResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One replica of the log.
 *
 * <p>Call {@link #step} for each event and {@link #flush} after each batch of events, and carry out
 * the effects in order. Times are milliseconds of a clock that never goes back. Not thread-safe:
 * the control thread owns it.
 */
public final class Replica {
  /** Entries kept after a snapshot, so that a replica a little behind needs no snapshot. */
  private static final long KEPT_ENTRIES = 1_000;

  private static final long FIRST_ELECTION_DIVISOR = 4;

  private final String id;
  private final String address;
  private final int voterCount;
  private final ReplicaTiming timing;
  private final RandomGenerator random;
  private final ReplicatedLog log;
  private List<String> knownAddresses;
  private final List<ReplicaEffect> effects = new ArrayList<>();

  private String clusterId;
  private long term;
  private String votedFor;
  private long commitIndex;
  private long durableIndex;
  private ReplicaRole role = ReplicaRole.FOLLOWER;
  private String leaderAddress = "";
  private long lastLeaderContactMs;
  private boolean heardLeader;
  private long electionDeadlineMs;
  private Optional<Leadership> leadership = Optional.empty();
  private final Set<String> grantedVotes = new HashSet<>();
  private boolean preVoting;
  private long incomingSnapshotIndex;
  private final ByteArrayOutputStream incomingSnapshot = new ByteArrayOutputStream();

  private Replica(
      String id,
      String address,
      String clusterId,
      List<String> knownAddresses,
      int voterCount,
      ReplicaTiming timing,
      RandomGenerator random,
      DurableState durable,
      long nowMs) {
    this.id = id;
    this.address = address;
    this.clusterId = clusterId;
    this.knownAddresses = List.copyOf(knownAddresses);
    this.voterCount = voterCount;
    this.timing = timing;
    this.random = random;
    this.term = durable.term();
    this.votedFor = durable.votedFor();
    this.log = new ReplicatedLog(durable.snapshot(), durable.entries());
    this.commitIndex = durable.snapshot().lastIndex();
    this.durableIndex = log.lastIndex();
    this.lastLeaderContactMs = nowMs - timing.electionTimeoutMs();
    resetElectionTimer(nowMs);
  }

  /**
   * Creates a replica from what its disk holds.
   *
   * @param id the identity that stands on its disk
   * @param address where other replicas reach it
   * @param clusterId the cluster that its disk belongs to; empty for a blank disk
   * @param knownAddresses the addresses of other replicas, or of all
   * @param voterCount the number of voters that there should be
   */
  public static Replica create(
      String id,
      String address,
      String clusterId,
      List<String> knownAddresses,
      int voterCount,
      ReplicaTiming timing,
      RandomGenerator random,
      DurableState durable,
      long nowMs) {
    if (id.isEmpty()) {
      throw new IllegalArgumentException("a replica needs an identity");
    }
    return new Replica(
        id, address, clusterId, knownAddresses, voterCount, timing, random, durable, nowMs);
  }

  /** Returns the first entry of a new cluster: a configuration with one voter. */
  public static LogEntry foundingEntry(String replicaId, String address, long stampedAtMs) {
    ReplicaSet founder = new ReplicaSet(List.of(new ReplicaInfo(replicaId, address)));
    Bytes body = ReplicatedLog.encodeVoters(founder);
    return new LogEntry(1, 1, EntryKind.CONFIGURATION, stampedAtMs, body);
  }

  /** Takes note of where replicas are, so that this one can ask to join. */
  public void updateKnownAddresses(List<String> addresses) {
    knownAddresses = List.copyOf(addresses);
  }

  /** Takes one event in and returns what is to be done. */
  public List<ReplicaEffect> step(ReplicaEvent event, long nowMs) {
    switch (event) {
      case ReplicaEvent.Tick tick -> onTick(nowMs);
      case ReplicaEvent.Received received -> onMessage(received.message(), nowMs);
      case ReplicaEvent.Proposed proposed -> onProposed(proposed);
      case ReplicaEvent.ReadRequested read -> onReadRequested(read);
      case ReplicaEvent.Persisted persisted -> onPersisted(persisted.index());
      case ReplicaEvent.SnapshotSaved saved -> log.compact(saved.snapshot(), KEPT_ENTRIES);
    }
    return takeEffects();
  }

  /** Sends what a batch of events has made due. */
  public List<ReplicaEffect> flush(long nowMs) {
    leadership.ifPresent(l -> l.flush(nowMs, effects::add));
    advanceCommit();
    return takeEffects();
  }

  private List<ReplicaEffect> takeEffects() {
    List<ReplicaEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  // Timers and elections.

  private void onTick(long nowMs) {
    if (leadership.isPresent()) {
      tickAsLeader(leadership.get(), nowMs);
      return;
    }
    if (nowMs < electionDeadlineMs) {
      return;
    }
    if (isVoter()) {
      campaign(true, nowMs);
    } else {
      resetElectionTimer(nowMs);
    }
    askToJoin();
  }

  private void tickAsLeader(Leadership leading, long nowMs) {
    if (!leading.hasQuorumContact(nowMs)) {
      becomeFollower(term, "", nowMs);
      return;
    }
    leading
        .dueVoterChange(voterCount, nowMs)
        .ifPresent(
            voters -> {
              appendAsLeader(EntryKind.CONFIGURATION, ReplicatedLog.encodeVoters(voters), 0);
              leading.refreshVoters(nowMs);
            });
  }

  private void askToJoin() {
    JoinRequest request = new JoinRequest(id, address, clusterId);
    for (String place : knownAddresses) {
      if (!place.equals(address)) {
        effects.add(new ReplicaEffect.Send(place, request));
      }
    }
  }

  private void campaign(boolean preVote, long nowMs) {
    preVoting = preVote;
    grantedVotes.clear();
    grantedVotes.add(id);
    resetElectionTimer(nowMs);
    if (preVote) {
      changeRole(ReplicaRole.FOLLOWER, "");
    } else {
      saveVote(term + 1, id);
      changeRole(ReplicaRole.CANDIDATE, "");
    }
    long campaignTerm = preVote ? term + 1 : term;
    VoteRequest request =
        new VoteRequest(campaignTerm, id, address, log.lastIndex(), log.lastTerm(), preVote);
    for (ReplicaInfo voter : log.voters().voters()) {
      if (!voter.replicaId().equals(id)) {
        effects.add(new ReplicaEffect.SendAfterSync(voter.address(), request));
      }
    }
    countVotes(nowMs);
  }

  private void countVotes(long nowMs) {
    List<ReplicaInfo> voters = log.voters().voters();
    long granted = voters.stream().filter(v -> grantedVotes.contains(v.replicaId())).count();
    if (granted <= voters.size() / 2) {
      return;
    }
    if (preVoting) {
      campaign(false, nowMs);
    } else {
      lead(nowMs);
    }
  }

  private void lead(long nowMs) {
    grantedVotes.clear();
    heardLeader = true;
    Leadership leading = new Leadership(this, timing, log.lastIndex() + 1, nowMs);
    leadership = Optional.of(leading);
    changeRole(ReplicaRole.LEADER, address);
    appendAsLeader(EntryKind.NOOP, Bytes.empty(), 0);
  }

  private void becomeFollower(long newTerm, String newLeaderAddress, long nowMs) {
    leadership.ifPresent(
        leading ->
            leading
                .pendingReadTokens()
                .forEach(token -> effects.add(new ReplicaEffect.Rejected(token))));
    leadership = Optional.empty();
    grantedVotes.clear();
    if (newTerm > term) {
      saveVote(newTerm, "");
    }
    resetElectionTimer(nowMs);
    changeRole(ReplicaRole.FOLLOWER, newLeaderAddress);
  }

  private void changeRole(ReplicaRole newRole, String newLeaderAddress) {
    boolean same = role == newRole && leaderAddress.equals(newLeaderAddress);
    role = newRole;
    leaderAddress = newLeaderAddress;
    if (!same) {
      effects.add(new ReplicaEffect.RoleChanged(newRole, term, newLeaderAddress));
    }
  }

  private void saveVote(long newTerm, String vote) {
    term = newTerm;
    votedFor = vote;
    effects.add(new ReplicaEffect.SaveVote(newTerm, vote));
  }

  private void resetElectionTimer(long nowMs) {
    // Before it has heard a leader, a replica that has just started need not wait for one to fall
    // silent: where there is one, the others do not grant a pre-vote.
    long timeoutMs = timing.electionTimeoutMs();
    long waitMs = heardLeader ? timeoutMs : timeoutMs / FIRST_ELECTION_DIVISOR;
    electionDeadlineMs = nowMs + waitMs + random.nextLong(waitMs);
  }

  // Messages.

  private void onMessage(Message message, long nowMs) {
    switch (message) {
      case VoteRequest request -> onVoteRequest(request, nowMs);
      case VoteResponse response -> onVoteResponse(response, nowMs);
      case AppendRequest request -> onAppendRequest(request, nowMs);
      case AppendResponse response -> onAppendResponse(response, nowMs);
      case SnapshotChunk chunk -> onSnapshotChunk(chunk, nowMs);
      case SnapshotAck ack -> onSnapshotAck(ack, nowMs);
      case JoinRequest request -> onJoinRequest(request, nowMs);
      default -> throw new IllegalArgumentException("not a message between replicas: " + message);
    }
  }

  private void onVoteRequest(VoteRequest request, long nowMs) {
    if (request.preVote()) {
      answerVote(request, request.term(), wouldVote(request, nowMs));
      return;
    }
    if (request.term() > term) {
      becomeFollower(request.term(), "", nowMs);
    }
    boolean free = votedFor.isEmpty() || votedFor.equals(request.candidateId());
    boolean granted = request.term() == term && free && isUpToDate(request);
    if (granted) {
      saveVote(term, request.candidateId());
      resetElectionTimer(nowMs);
    }
    answerVote(request, term, granted);
  }

  /** A replica that hears its leader wants no election, whoever comes back from a long absence. */
  private boolean wouldVote(VoteRequest request, long nowMs) {
    boolean hearsLeader =
        leadership.isPresent() || nowMs - lastLeaderContactMs < timing.electionTimeoutMs();
    return request.term() > term && !hearsLeader && isUpToDate(request);
  }

  private boolean isUpToDate(VoteRequest request) {
    if (request.lastTerm() != log.lastTerm()) {
      return request.lastTerm() > log.lastTerm();
    }
    return request.lastIndex() >= log.lastIndex();
  }

  private void answerVote(VoteRequest request, long answerTerm, boolean granted) {
    long shownTerm = granted ? answerTerm : term;
    VoteResponse response = new VoteResponse(shownTerm, id, granted, request.preVote());
    effects.add(new ReplicaEffect.SendAfterSync(request.candidateAddress(), response));
  }

  private void onVoteResponse(VoteResponse response, long nowMs) {
    if (!response.granted()) {
      if (response.term() > term) {
        becomeFollower(response.term(), "", nowMs);
      }
      return;
    }
    long campaignTerm = preVoting ? term + 1 : term;
    boolean campaigning = !grantedVotes.isEmpty() && leadership.isEmpty();
    if (campaigning && response.preVote() == preVoting && response.term() == campaignTerm) {
      grantedVotes.add(response.voterId());
      countVotes(nowMs);
    }
  }

  private void onAppendRequest(AppendRequest request, long nowMs) {
    if (isForeign(request.clusterId())) {
      return;
    }
    if (request.term() < term) {
      answerAppend(request.leaderAddress(), false, commitIndex, request.round());
      return;
    }
    if (!request.toReplicaId().equals(id)) {
      askLeaderToJoin(request.leaderAddress(), nowMs);
      return;
    }
    followLeader(request.term(), request.leaderAddress(), request.clusterId(), nowMs);
    if (!agreesAt(request.prevIndex(), request.prevTerm())) {
      long hint = Math.min(log.lastIndex(), Math.max(commitIndex, log.baseIndex()));
      answerAppend(request.leaderAddress(), false, hint, request.round());
      return;
    }
    appendFromLeader(request.entries());
    long matchIndex = request.prevIndex() + request.entries().size();
    commitUpTo(Math.min(request.commitIndex(), matchIndex));
    answerAppend(request.leaderAddress(), true, matchIndex, request.round());
  }

  /**
   * The leader means another disk at this address. This replica must not answer for it, but it
   * hears that there is a leader, and makes itself known.
   */
  private void askLeaderToJoin(String leader, long nowMs) {
    lastLeaderContactMs = nowMs;
    heardLeader = true;
    resetElectionTimer(nowMs);
    effects.add(new ReplicaEffect.Send(leader, new JoinRequest(id, address, clusterId)));
  }

  private boolean isForeign(String otherClusterId) {
    return !clusterId.isEmpty() && !clusterId.equals(otherClusterId);
  }

  private void followLeader(long leaderTerm, String newLeader, String leaderCluster, long nowMs) {
    if (clusterId.isEmpty()) {
      clusterId = leaderCluster;
      effects.add(new ReplicaEffect.JoinCluster(leaderCluster));
    }
    lastLeaderContactMs = nowMs;
    heardLeader = true;
    if (leaderTerm > term || role != ReplicaRole.FOLLOWER || !leaderAddress.equals(newLeader)) {
      becomeFollower(leaderTerm, newLeader, nowMs);
    }
    resetElectionTimer(nowMs);
  }

  private boolean agreesAt(long prevIndex, long prevTerm) {
    // Everything up to the base is committed, so any leader agrees with it.
    return prevIndex < log.baseIndex() || log.termAt(prevIndex) == prevTerm;
  }

  private void appendFromLeader(List<LogEntry> entries) {
    List<LogEntry> fresh = new ArrayList<>();
    for (LogEntry entry : entries) {
      boolean held = entry.index() <= log.lastIndex() && fresh.isEmpty();
      if (entry.index() <= log.baseIndex() || (held && hasSame(entry))) {
        continue;
      }
      if (held) {
        truncateFrom(entry.index());
      }
      fresh.add(entry);
    }
    if (!fresh.isEmpty()) {
      log.append(fresh);
      effects.add(ReplicaEffect.append(fresh));
    }
  }

  private boolean hasSame(LogEntry entry) {
    return log.termAt(entry.index()) == entry.term();
  }

  private void truncateFrom(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException("committed entry " + index + " would be overwritten");
    }
    log.truncateFrom(index);
    durableIndex = Math.min(durableIndex, index - 1);
    effects.add(new ReplicaEffect.Truncate(index));
  }

  private void answerAppend(String to, boolean success, long matchIndex, long round) {
    AppendResponse response = new AppendResponse(term, id, success, matchIndex, round);
    effects.add(new ReplicaEffect.SendAfterSync(to, response));
  }

  private void onAppendResponse(AppendResponse response, long nowMs) {
    if (response.term() > term) {
      becomeFollower(response.term(), "", nowMs);
      return;
    }
    if (response.term() == term && leadership.isPresent()) {
      leadership.get().onAppendResponse(response, nowMs);
      advanceCommit();
    }
  }

  private void onSnapshotChunk(SnapshotChunk chunk, long nowMs) {
    boolean meant = chunk.toReplicaId().equals(id);
    if (isForeign(chunk.clusterId()) || chunk.term() < term || !meant) {
      return;
    }
    followLeader(chunk.term(), chunk.leaderAddress(), chunk.clusterId(), nowMs);
    if (chunk.lastIndex() <= commitIndex) {
      answerAppend(chunk.leaderAddress(), true, commitIndex, 0);
      return;
    }
    if (chunk.lastIndex() != incomingSnapshotIndex || chunk.offset() == 0) {
      incomingSnapshotIndex = chunk.lastIndex();
      incomingSnapshot.reset();
    }
    if (chunk.offset() == incomingSnapshot.size()) {
      receive(chunk.data());
      if (chunk.last()) {
        install(chunk);
        return;
      }
    }
    SnapshotAck ack = new SnapshotAck(term, id, chunk.lastIndex(), incomingSnapshot.size());
    effects.add(new ReplicaEffect.Send(chunk.leaderAddress(), ack));
  }

  private void receive(Bytes piece) {
    try {
      piece.writeTo(incomingSnapshot);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory cannot fail", e);
    }
  }

  private void install(SnapshotChunk chunk) {
    Bytes state = Bytes.copyOf(incomingSnapshot.toByteArray());
    incomingSnapshot.reset();
    incomingSnapshotIndex = 0;
    LogSnapshot snapshot =
        new LogSnapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.voters(), state);
    log.reset(snapshot);
    commitIndex = snapshot.lastIndex();
    durableIndex = snapshot.lastIndex();
    effects.add(new ReplicaEffect.Install(snapshot));
    answerAppend(chunk.leaderAddress(), true, commitIndex, 0);
  }

  private void onSnapshotAck(SnapshotAck ack, long nowMs) {
    if (ack.term() == term) {
      leadership.ifPresent(leading -> leading.onSnapshotAck(ack, nowMs));
    }
  }

  private void onJoinRequest(JoinRequest request, long nowMs) {
    boolean foreign = !request.clusterId().isEmpty() && isForeign(request.clusterId());
    if (!foreign) {
      leadership.ifPresent(leading -> leading.onJoinRequest(request, nowMs));
    }
  }

  // Proposals, reads and commitment.

  private void onProposed(ReplicaEvent.Proposed proposed) {
    if (leadership.isEmpty()) {
      effects.add(new ReplicaEffect.Rejected(proposed.token()));
      return;
    }
    long index = appendAsLeader(EntryKind.COMMAND, proposed.command(), proposed.stampedAtMs());
    effects.add(new ReplicaEffect.Accepted(proposed.token(), index));
  }

  private long appendAsLeader(EntryKind kind, Bytes body, long stampedAtMs) {
    LogEntry entry = new LogEntry(term, log.lastIndex() + 1, kind, stampedAtMs, body);
    log.append(List.of(entry));
    effects.add(ReplicaEffect.append(List.of(entry)));
    return entry.index();
  }

  private void onReadRequested(ReplicaEvent.ReadRequested read) {
    if (leadership.isEmpty()) {
      effects.add(new ReplicaEffect.Rejected(read.token()));
      return;
    }
    leadership.get().requestRead(read.token());
  }

  private void onPersisted(long index) {
    durableIndex = Math.max(durableIndex, Math.min(index, log.lastIndex()));
    advanceCommit();
  }

  /** Commits what a quorum has synced, if it is of this term (Raft, figure 8). */
  private void advanceCommit() {
    if (leadership.isEmpty()) {
      return;
    }
    Leadership leading = leadership.get();
    long quorumIndex = leading.quorumIndex();
    if (quorumIndex > commitIndex && log.termAt(quorumIndex) == term) {
      commitUpTo(quorumIndex);
    }
    leading.releaseReads(effects::add);
  }

  private void commitUpTo(long index) {
    while (commitIndex < index) {
      commitIndex++;
      effects.add(new ReplicaEffect.Apply(log.at(commitIndex)));
    }
  }

  // What others may see.

  ReplicatedLog log() {
    return log;
  }

  /** Returns the identity that stands on this replica's disk. */
  public String id() {
    return id;
  }

  String address() {
    return address;
  }

  /** Returns the cluster; empty while the replica is blank. */
  public String clusterId() {
    return clusterId;
  }

  /** Returns the current term. */
  public long term() {
    return term;
  }

  /** Returns the replica that got this one's vote in the current term; empty for none. */
  public String votedFor() {
    return votedFor;
  }

  /** Returns the entries after an index that the log holds. */
  public List<LogEntry> entriesAfter(long index) {
    return log.slice(index + 1, Long.MAX_VALUE);
  }

  /** Returns the index up to which entries are committed. */
  public long commitIndex() {
    return commitIndex;
  }

  /** Returns the index of the last entry. */
  public long lastIndex() {
    return log.lastIndex();
  }

  /** Returns the term of an entry that the log holds. */
  public long termAt(long index) {
    return log.termAt(index);
  }

  /** Returns the voters as of an index that the log holds. */
  public ReplicaSet votersAt(long index) {
    return log.votersAt(index);
  }

  long durableIndex() {
    return durableIndex;
  }

  /** Returns whether this replica leads. */
  public boolean isLeader() {
    return leadership.isPresent();
  }

  /** Returns the leader's address; empty when none is known. */
  public String leaderAddress() {
    return leaderAddress;
  }

  /** Returns whether this replica is among the voters that it knows of. */
  public boolean isVoter() {
    return log.voters().voters().stream().anyMatch(voter -> voter.replicaId().equals(id));
  }

  /** Returns the voters that this replica knows of. */
  public List<ReplicaInfo> voters() {
    return log.voters().voters();
  }

  /** Returns the replicas that catch up without a vote; empty unless this replica leads. */
  public List<ReplicaInfo> learners() {
    return leadership.map(Leadership::learners).orElse(List.of());
  }
}
