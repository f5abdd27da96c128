package io.hingehoist.replication;

import io.hingehoist.message.AppendRequest;
import io.hingehoist.message.AppendResponse;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.JoinRequest;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.Message;
import io.hingehoist.message.OriginalReplica;
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
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * A replica of the log, which consumes events and returns effects.
 *
 * <p>Call {@link #step} for each event and {@link #flush} after each batch of events, and carry out
 * the returned effects in order. Times are milliseconds of a monotonic clock. Not thread-safe:
 * confined to the control thread.
 */
public final class Replica {
  /**
   * The number of entries retained after a snapshot, so that a replica that is slightly behind
   * needs no snapshot.
   */
  private static final long RETAINED_ENTRIES = 1_000;

  private static final long INITIAL_TIMEOUT_DIVISOR = 4;

  /**
   * The number of election timeouts for which a replica that asked to join counts as blank. A blank
   * one asks at least once in two.
   */
  private static final long BLANK_TIMEOUTS = 4;

  /**
   * The number of election timeouts without a new address after which a replica of the first start
   * knows of all others that it can reach. They announce themselves to each other in less than one.
   */
  private static final long QUIET_TIMEOUTS = 2;

  private final String id;
  private final String address;
  private final int voterCount;
  private final boolean mayFound;
  private final String foundingId;

  /** The replicas of the first start that this one has heard of, by id. */
  private final Map<String, OriginalReplica> originals = new LinkedHashMap<>();

  private final BlankReplicas blankReplicas = new BlankReplicas();
  private final ReplicaTiming timing;
  private final LogLimits limits;
  private final RandomGenerator random;
  private final ReplicatedLog log;
  private List<String> knownAddresses;
  private long addressesChangedAtMs;
  private final List<ReplicaEffect> effects = new ArrayList<>();

  private String clusterId;
  private long term;
  private String votedFor;
  private long commitIndex;
  private long durableIndex;
  private ReplicaRole role = ReplicaRole.FOLLOWER;
  private String leaderAddress = "";
  private long lastLeaderContactAtMs;
  private boolean leaderSeen;
  private long electionDeadlineAtMs;
  private Optional<Leadership> leadership = Optional.empty();
  private final Set<String> grantedVotes = new HashSet<>();
  private boolean preVoting;
  private long incomingSnapshotIndex;
  private final ByteArrayOutputStream incomingSnapshot = new ByteArrayOutputStream();

  private Replica(
      Membership membership,
      ReplicaTiming timing,
      LogLimits limits,
      RandomGenerator random,
      DurableState durableState,
      long nowMs) {
    this.id = membership.replicaId();
    this.address = membership.address();
    this.clusterId = membership.clusterId();
    this.knownAddresses = membership.knownAddresses();
    this.addressesChangedAtMs = nowMs;
    this.voterCount = membership.voterCount();
    this.mayFound = membership.mayFound();
    this.foundingId = membership.foundingId();
    if (!foundingId.isEmpty()) {
      originals.put(id, statement());
    }
    this.timing = timing;
    this.limits = limits;
    this.random = random;
    this.term = durableState.term();
    this.votedFor = durableState.votedFor();
    this.log = new ReplicatedLog(durableState.snapshot(), durableState.entries());
    this.commitIndex = durableState.snapshot().lastIndex();
    this.durableIndex = log.lastIndex();
    this.lastLeaderContactAtMs = nowMs - timing.electionTimeoutMs();
    resetElectionTimer(nowMs);
  }

  /** Creates a replica from the state recovered from its disk. */
  public static Replica create(
      Membership membership,
      ReplicaTiming timing,
      LogLimits limits,
      RandomGenerator random,
      DurableState durableState,
      long nowMs) {
    return new Replica(membership, timing, limits, random, durableState, nowMs);
  }

  /** Returns the first entry of a new cluster: a configuration with one voter. */
  public static LogEntry foundingEntry(String replicaId, String address, long stampedAtMs) {
    ReplicaSet voters = new ReplicaSet(List.of(new ReplicaInfo(replicaId, address)));
    Bytes body = ReplicatedLog.encodeVoters(voters);
    return new LogEntry(1, 1, EntryKind.CONFIGURATION, stampedAtMs, body);
  }

  /** Replaces the addresses of other replicas to which this one sends its join requests. */
  public void updateKnownAddresses(List<String> addresses, long nowMs) {
    if (!Set.copyOf(knownAddresses).containsAll(addresses)) {
      addressesChangedAtMs = nowMs;
    }
    knownAddresses = List.copyOf(addresses);
  }

  /** Processes one event and returns the effects to carry out. */
  public List<ReplicaEffect> step(ReplicaEvent event, long nowMs) {
    switch (event) {
      case ReplicaEvent.Tick tick -> onTick(nowMs);
      case ReplicaEvent.Received received -> onMessage(received.message(), nowMs);
      case ReplicaEvent.Proposed proposed -> onProposed(proposed);
      case ReplicaEvent.ReadRequested read -> onReadRequested(read);
      case ReplicaEvent.Persisted persisted -> onPersisted(persisted.index());
      case ReplicaEvent.SnapshotSaved saved -> compactLog(saved.snapshot());
    }
    return drainEffects();
  }

  private void compactLog(LogSnapshot snapshot) {
    log.compact(snapshot, RETAINED_ENTRIES, limits.retainedBytes());
  }

  /** Returns the messages, commits and reads that have become due with a batch of events. */
  public List<ReplicaEffect> flush(long nowMs) {
    leadership.ifPresent(l -> l.flush(nowMs, effects::add));
    advanceCommit();
    return drainEffects();
  }

  private List<ReplicaEffect> drainEffects() {
    List<ReplicaEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }

  // Timers and elections.

  private void onTick(long nowMs) {
    if (leadership.isPresent()) {
      tickAsLeader(leadership.get(), nowMs);
      return;
    }
    if (nowMs < electionDeadlineAtMs) {
      return;
    }
    if (mayCampaign(nowMs)) {
      campaign(true, nowMs);
    } else {
      resetElectionTimer(nowMs);
    }
    sendJoinRequests();
  }

  private void tickAsLeader(Leadership leading, long nowMs) {
    if (!leading.hasQuorumContact(nowMs)) {
      becomeFollower(term, "", nowMs);
      return;
    }
    if (fillVacantSeats()) {
      leading.refreshVoters(nowMs);
    }
    leading
        .dueVoterChange(voterCount, nowMs)
        .ifPresent(
            voters -> {
              appendAsLeader(EntryKind.CONFIGURATION, ReplicatedLog.encodeVoters(voters), 0);
              leading.refreshVoters(nowMs);
            });
  }

  private boolean mayCampaign(long nowMs) {
    if (isBlank()) {
      boolean addressesAreKnown =
          nowMs - addressesChangedAtMs >= QUIET_TIMEOUTS * timing.electionTimeoutMs();
      return (isOriginal() && addressesAreKnown) || (mayFound && blankVoters(nowMs).isPresent());
    }
    return isVoter() || (isOriginal() && Seats.vacantCount(log.voters()) > 0);
  }

  /** Returns whether this replica's disk dates from the first start of the deployment. */
  private boolean isOriginal() {
    return !foundingId.isEmpty();
  }

  private OriginalReplica statement() {
    return new OriginalReplica(id, address, foundingId);
  }

  /** Returns the voters of a new cluster if as many replicas as it needs are blank. */
  private Optional<ReplicaSet> blankVoters(long nowMs) {
    long oldestMs = nowMs - BLANK_TIMEOUTS * timing.electionTimeoutMs();
    return blankReplicas.newVoters(new ReplicaInfo(id, address), voterCount, oldestMs);
  }

  /**
   * Founds a cluster as the leader that a majority of the replicas of the first start, or all
   * replicas, have elected. Each of them held no entries when it voted, so no other leader can have
   * had an entry accepted.
   */
  private void found(ReplicaSet voters) {
    clusterId =
        originals.values().stream()
            .map(OriginalReplica::foundingId)
            .findFirst()
            .orElseGet(() -> new UUID(random.nextLong(), random.nextLong()).toString());
    effects.add(new ReplicaEffect.FoundCluster(clusterId, voters));
    appendAsLeader(EntryKind.CONFIGURATION, ReplicatedLog.encodeVoters(voters), 0);
  }

  /** Gives vacant seats to the replicas of the first start that have none. */
  private boolean fillVacantSeats() {
    ReplicaSet voters = log.voters();
    if (Seats.vacantCount(voters) == 0) {
      return false;
    }
    ReplicaSet filled = Seats.fill(voters, originalInfos());
    if (filled.equals(voters)) {
      return false;
    }
    appendAsLeader(EntryKind.CONFIGURATION, ReplicatedLog.encodeVoters(filled), 0);
    return true;
  }

  private List<ReplicaInfo> originalInfos() {
    return originals.values().stream()
        .map(original -> new ReplicaInfo(original.replicaId(), original.address()))
        .toList();
  }

  /**
   * Returns whether this replica holds no entries. It may then join any cluster, also when its disk
   * names one: it has acknowledged nothing to that.
   */
  private boolean isBlank() {
    return log.lastIndex() == 0;
  }

  private JoinRequest joinRequest() {
    return new JoinRequest(id, address, isBlank() ? "" : clusterId);
  }

  private void sendJoinRequests() {
    knownAddresses.stream()
        .filter(peerAddress -> !peerAddress.equals(address))
        .forEach(this::sendJoinRequest);
  }

  private void sendJoinRequest(String peerAddress) {
    if (isOriginal()) {
      effects.add(new ReplicaEffect.Send(peerAddress, statement()));
    }
    effects.add(new ReplicaEffect.Send(peerAddress, joinRequest()));
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
    voterAddresses().forEach(voter -> effects.add(new ReplicaEffect.SendAfterSync(voter, request)));
    countVotes(nowMs);
  }

  /** Returns the addresses of the other replicas that may have a vote. */
  private Set<String> voterAddresses() {
    Set<String> addresses = new LinkedHashSet<>();
    log.voters().voters().stream().map(ReplicaInfo::address).forEach(addresses::add);
    if (isBlank() || Seats.vacantCount(log.voters()) > 0) {
      addresses.addAll(knownAddresses);
    }
    addresses.remove(address);
    addresses.remove("");
    return addresses;
  }

  private boolean isElected(long nowMs) {
    if (isBlank()) {
      return isElectedByOriginals()
          || (grantedVotes.size() >= voterCount && blankVoters(nowMs).isPresent());
    }
    ReplicaSet voters = log.voters();
    long granted = grantedVotes.stream().filter(voter -> Seats.contains(voters, voter)).count();
    long unseated =
        grantedVotes.stream()
            .filter(originals::containsKey)
            .filter(voter -> !Seats.contains(voters, voter))
            .count();
    return granted + Math.min(unseated, Seats.vacantCount(voters)) > voters.voters().size() / 2;
  }

  private void countVotes(long nowMs) {
    if (!isElected(nowMs)) {
      return;
    }
    if (preVoting) {
      campaign(false, nowMs);
    } else {
      becomeLeader(nowMs);
    }
  }

  private void becomeLeader(long nowMs) {
    if (isBlank()) {
      found(newVoters(nowMs));
    } else {
      fillVacantSeats();
    }
    grantedVotes.clear();
    leaderSeen = true;
    Leadership leading = new Leadership(this, timing, limits, log.lastIndex() + 1, nowMs);
    leadership = Optional.of(leading);
    changeRole(ReplicaRole.LEADER, address);
    appendAsLeader(EntryKind.NOOP, Bytes.empty(), 0);
  }

  /**
   * Returns whether enough replicas of the first start have voted for this one to found a cluster:
   * so many that no quorum of other voters is left among those that are known.
   */
  private boolean isElectedByOriginals() {
    long granted = grantedVotes.stream().filter(originals::containsKey).count();
    int quorum = voterCount / 2 + 1;
    return isOriginal() && granted >= Math.max(quorum, knownReplicaCount() - quorum + 1);
  }

  private long knownReplicaCount() {
    return Stream.concat(Stream.of(address), knownAddresses.stream()).distinct().count();
  }

  private ReplicaSet newVoters(long nowMs) {
    if (!isElectedByOriginals()) {
      return blankVoters(nowMs).orElseThrow();
    }
    ReplicaSet seated = Seats.fill(Seats.vacant(voterCount), originalInfos());
    // With more replicas than seats, two of them could vote for the same vacant seat.
    return knownReplicaCount() > voterCount ? Seats.retireVacant(seated) : seated;
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
    boolean unchanged = role == newRole && leaderAddress.equals(newLeaderAddress);
    role = newRole;
    leaderAddress = newLeaderAddress;
    if (!unchanged) {
      effects.add(new ReplicaEffect.RoleChanged(newRole, term, newLeaderAddress));
    }
  }

  private void saveVote(long newTerm, String vote) {
    term = newTerm;
    votedFor = vote;
    effects.add(new ReplicaEffect.SaveVote(newTerm, vote));
  }

  private void resetElectionTimer(long nowMs) {
    // A replica that has just started uses a shorter timeout until a leader has contacted it. This
    // does not disrupt an existing leader, because the other replicas then do not grant a pre-vote.
    long timeoutMs = timing.electionTimeoutMs();
    long waitMs = leaderSeen ? timeoutMs : timeoutMs / INITIAL_TIMEOUT_DIVISOR;
    electionDeadlineAtMs = nowMs + waitMs + random.nextLong(waitMs);
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
      case OriginalReplica original -> originals.put(original.replicaId(), original);
      default -> throw new IllegalArgumentException("not a message between replicas: " + message);
    }
  }

  private void onVoteRequest(VoteRequest request, long nowMs) {
    if (request.lastIndex() > 0) {
      blankReplicas.onClusterMessage();
    }
    if (request.preVote()) {
      sendVoteResponse(request, request.term(), wouldGrantPreVote(request, nowMs));
      return;
    }
    if (request.term() > term) {
      becomeFollower(request.term(), "", nowMs);
    }
    boolean voteAvailable = votedFor.isEmpty() || votedFor.equals(request.candidateId());
    boolean granted = request.term() == term && voteAvailable && isUpToDate(request);
    if (granted) {
      saveVote(term, request.candidateId());
      resetElectionTimer(nowMs);
    }
    sendVoteResponse(request, term, granted);
  }

  /**
   * Returns whether this replica grants a pre-vote. It grants none while it is in contact with a
   * leader, so that a replica that returns from a long partition cannot force an election.
   */
  private boolean wouldGrantPreVote(VoteRequest request, long nowMs) {
    boolean leaderReachable =
        leadership.isPresent() || nowMs - lastLeaderContactAtMs < timing.electionTimeoutMs();
    return request.term() > term && !leaderReachable && isUpToDate(request);
  }

  private boolean isUpToDate(VoteRequest request) {
    if (request.lastTerm() != log.lastTerm()) {
      return request.lastTerm() > log.lastTerm();
    }
    return request.lastIndex() >= log.lastIndex();
  }

  private void sendVoteResponse(VoteRequest request, long grantedTerm, boolean granted) {
    long responseTerm = granted ? grantedTerm : term;
    VoteResponse response = new VoteResponse(responseTerm, id, granted, request.preVote());
    if (granted && isOriginal()) {
      effects.add(new ReplicaEffect.SendAfterSync(request.candidateAddress(), statement()));
    }
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
    blankReplicas.onClusterMessage();
    if (isOtherCluster(request.clusterId())) {
      return;
    }
    if (request.term() < term) {
      sendAppendResponse(request.leaderAddress(), false, commitIndex, request.round());
      return;
    }
    if (!request.toReplicaId().equals(id)) {
      sendJoinRequestTo(request.leaderAddress(), nowMs);
      return;
    }
    followLeader(request.term(), request.leaderAddress(), request.clusterId(), nowMs);
    if (!logMatchesAt(request.prevIndex(), request.prevTerm())) {
      long hint = Math.min(log.lastIndex(), Math.max(commitIndex, log.baseIndex()));
      sendAppendResponse(request.leaderAddress(), false, hint, request.round());
      return;
    }
    appendFromLeader(request.entries());
    long matchIndex = request.prevIndex() + request.entries().size();
    commitUpTo(Math.min(request.commitIndex(), matchIndex));
    sendAppendResponse(request.leaderAddress(), true, matchIndex, request.round());
  }

  /**
   * Asks a leader to add this replica. The leader's request was meant for another disk at this
   * address, and this replica must not answer on its behalf; the request does show that there is a
   * leader.
   */
  private void sendJoinRequestTo(String leader, long nowMs) {
    lastLeaderContactAtMs = nowMs;
    leaderSeen = true;
    resetElectionTimer(nowMs);
    sendJoinRequest(leader);
  }

  private boolean isOtherCluster(String otherClusterId) {
    return !isBlank() && !clusterId.equals(otherClusterId);
  }

  private void followLeader(long leaderTerm, String newLeader, String leaderCluster, long nowMs) {
    if (!clusterId.equals(leaderCluster)) {
      clusterId = leaderCluster;
      effects.add(new ReplicaEffect.JoinCluster(leaderCluster));
    }
    lastLeaderContactAtMs = nowMs;
    leaderSeen = true;
    if (leaderTerm > term || role != ReplicaRole.FOLLOWER || !leaderAddress.equals(newLeader)) {
      becomeFollower(leaderTerm, newLeader, nowMs);
    }
    resetElectionTimer(nowMs);
  }

  private boolean logMatchesAt(long prevIndex, long prevTerm) {
    // Every entry up to the base index is committed, so the log of any leader matches there.
    return prevIndex < log.baseIndex() || log.termAt(prevIndex) == prevTerm;
  }

  private void appendFromLeader(List<LogEntry> entries) {
    List<LogEntry> newEntries = new ArrayList<>();
    for (LogEntry entry : entries) {
      boolean overlaps = entry.index() <= log.lastIndex() && newEntries.isEmpty();
      if (entry.index() <= log.baseIndex() || (overlaps && hasSameTerm(entry))) {
        continue;
      }
      if (overlaps) {
        truncateFrom(entry.index());
      }
      newEntries.add(entry);
    }
    if (!newEntries.isEmpty()) {
      log.append(newEntries);
      effects.add(ReplicaEffect.append(newEntries));
    }
  }

  private boolean hasSameTerm(LogEntry entry) {
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

  private void sendAppendResponse(String to, boolean success, long matchIndex, long round) {
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
    blankReplicas.onClusterMessage();
    boolean addressedToSelf = chunk.toReplicaId().equals(id);
    if (isOtherCluster(chunk.clusterId()) || chunk.term() < term || !addressedToSelf) {
      return;
    }
    followLeader(chunk.term(), chunk.leaderAddress(), chunk.clusterId(), nowMs);
    if (chunk.lastIndex() <= commitIndex) {
      sendAppendResponse(chunk.leaderAddress(), true, commitIndex, 0);
      return;
    }
    if (chunk.lastIndex() != incomingSnapshotIndex || chunk.offset() == 0) {
      incomingSnapshotIndex = chunk.lastIndex();
      incomingSnapshot.reset();
    }
    if (chunk.offset() == incomingSnapshot.size()) {
      appendToIncomingSnapshot(chunk.data());
      if (chunk.last()) {
        installSnapshot(chunk);
        return;
      }
    }
    SnapshotAck ack = new SnapshotAck(term, id, chunk.lastIndex(), incomingSnapshot.size());
    effects.add(new ReplicaEffect.Send(chunk.leaderAddress(), ack));
  }

  private void appendToIncomingSnapshot(Bytes chunkData) {
    try {
      chunkData.writeTo(incomingSnapshot);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory cannot fail", e);
    }
  }

  private void installSnapshot(SnapshotChunk chunk) {
    Bytes state = Bytes.copyOf(incomingSnapshot.toByteArray());
    incomingSnapshot.reset();
    incomingSnapshotIndex = 0;
    LogSnapshot snapshot =
        new LogSnapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.voters(), state);
    if (log.termAt(snapshot.lastIndex()) == snapshot.lastTerm()) {
      // The later entries may have been acknowledged, so they must not be lost.
      compactLog(snapshot);
    } else {
      log.reset(snapshot);
      durableIndex = snapshot.lastIndex();
    }
    commitIndex = snapshot.lastIndex();
    effects.add(new ReplicaEffect.Install(snapshot));
    sendAppendResponse(chunk.leaderAddress(), true, commitIndex, 0);
  }

  private void onSnapshotAck(SnapshotAck ack, long nowMs) {
    if (ack.term() == term) {
      leadership.ifPresent(leading -> leading.onSnapshotAck(ack, nowMs));
    }
  }

  private void onJoinRequest(JoinRequest request, long nowMs) {
    if (isBlank()) {
      blankReplicas.onJoinRequest(request, nowMs);
    }
    boolean otherCluster = !request.clusterId().isEmpty() && isOtherCluster(request.clusterId());
    if (!otherCluster) {
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

  /**
   * Commits the entries that a quorum has synced to disk, if the last of them is of the current
   * term (Raft, figure 8).
   */
  private void advanceCommit() {
    if (leadership.isEmpty()) {
      return;
    }
    Leadership leading = leadership.get();
    long quorumIndex = leading.quorumIndex();
    if (quorumIndex > commitIndex && log.termAt(quorumIndex) == term) {
      commitUpTo(quorumIndex);
    }
    leading.emitReadyReads(effects::add);
  }

  private void commitUpTo(long index) {
    while (commitIndex < index) {
      commitIndex++;
      effects.add(new ReplicaEffect.Apply(log.entryAt(commitIndex)));
    }
  }

  // Accessors.

  ReplicatedLog log() {
    return log;
  }

  /** Returns the identity stored on this replica's disk. */
  public String id() {
    return id;
  }

  String address() {
    return address;
  }

  /** Returns the id of the cluster; empty if the replica has joined none. */
  public String clusterId() {
    return clusterId;
  }

  /** Returns the current term. */
  public long term() {
    return term;
  }

  /** Returns the replica that this one voted for in the current term; empty for none. */
  public String votedFor() {
    return votedFor;
  }

  /** Returns the entries after an index, which must be at or after the base of the log. */
  public List<LogEntry> entriesAfter(long index) {
    return log.slice(index + 1, Long.MAX_VALUE);
  }

  /** Returns the index up to which entries are committed. */
  public long commitIndex() {
    return commitIndex;
  }

  /**
   * Returns whether a command of some size may be proposed: the uncommitted entries, which stay in
   * memory until a quorum has synced them, remain within their limit. A single entry may exceed it.
   */
  public boolean hasRoomFor(long commandBytes) {
    long uncommittedBytes = log.bytesBetween(commitIndex, log.lastIndex());
    return uncommittedBytes == 0 || uncommittedBytes + commandBytes <= limits.uncommittedBytes();
  }

  /** Returns the total size of the bodies after an index, up to and including another one. */
  public long bytesBetween(long afterIndex, long throughIndex) {
    return log.bytesBetween(afterIndex, throughIndex);
  }

  /** Returns the total size of the bodies in memory. */
  public long logBytes() {
    return log.bytesBetween(log.baseIndex(), log.lastIndex());
  }

  /** Returns the index of the last entry. */
  public long lastIndex() {
    return log.lastIndex();
  }

  /** Returns the term of an entry; -1 if the log does not hold it. */
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

  /** Returns whether this replica is a voter in the latest configuration that it knows. */
  public boolean isVoter() {
    return log.voters().voters().stream().anyMatch(voter -> voter.replicaId().equals(id));
  }

  /** Returns the voters of the latest configuration that this replica knows. */
  public List<ReplicaInfo> voters() {
    return log.voters().voters();
  }

  /**
   * Returns the learners, which receive the log but have no vote; empty unless this replica leads.
   */
  public List<ReplicaInfo> learners() {
    return leadership.map(Leadership::learners).orElse(List.of());
  }
}
