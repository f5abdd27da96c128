package io.hingehoist.quorum;

import io.hingehoist.command.Command;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.DocumentVersion;
import io.hingehoist.command.FindJob;
import io.hingehoist.command.GetDocument;
import io.hingehoist.command.GetDocumentVersion;
import io.hingehoist.command.GetJob;
import io.hingehoist.command.GetReport;
import io.hingehoist.command.JobRecord;
import io.hingehoist.command.NewestVersion;
import io.hingehoist.command.NoSuchJob;
import io.hingehoist.command.Query;
import io.hingehoist.command.QueryAnswer;
import io.hingehoist.command.Report;
import io.hingehoist.control.ControlState;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.HeartbeatRequest;
import io.hingehoist.message.HeartbeatResponse;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.Message;
import io.hingehoist.message.ProposeRequest;
import io.hingehoist.message.ProposeResponse;
import io.hingehoist.message.QueryRequest;
import io.hingehoist.message.QueryResponse;
import io.hingehoist.message.ReplyStatus;
import io.hingehoist.message.Role;
import io.hingehoist.replication.Replica;
import io.hingehoist.state.DocumentRow;
import io.hingehoist.state.JobRow;
import io.hingehoist.wire.MessageSink;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The pending requests of entries and agents: proposals wait for their result, reads for a round of
 * heartbeats, and queries for the end of a job. Not thread-safe: confined to the control thread.
 */
final class ClientRequests {
  private record PendingRequest(MessageSink client, Message request) {}

  private record JobWaiter(MessageSink client, long requestId, long expiresAtMs) {}

  private final Supplier<ControlState> state;
  private final Replica replica;
  private final long leaseMs;
  private final Map<Long, PendingRequest> byToken = new HashMap<>();
  private final Map<Long, PendingRequest> byIndex = new HashMap<>();
  private final Map<Long, List<JobWaiter>> jobWaiters = new HashMap<>();
  private long lastToken;

  ClientRequests(Supplier<ControlState> state, Replica replica, long leaseMs) {
    this.state = state;
    this.replica = replica;
    this.leaseMs = leaseMs;
  }

  /** Adds a request and returns the token that identifies it. */
  long add(MessageSink client, Message request) {
    byToken.put(++lastToken, new PendingRequest(client, request));
    return lastToken;
  }

  /** Returns a new token for a proposal without a waiting client. */
  long nextToken() {
    return ++lastToken;
  }

  /** Returns the command of a proposal, or responds with an error if it can't be decoded. */
  static Optional<Command> commandOf(MessageSink client, ProposeRequest request) {
    try {
      return Optional.of(Command.fromBytes(request.command()));
    } catch (IOException e) {
      client.send(new ProposeResponse(request.requestId(), ReplyStatus.INVALID, "", Bytes.empty()));
      return Optional.empty();
    }
  }

  /** Called when a proposal was appended to the log at an index. */
  void onAccepted(long token, long index) {
    PendingRequest pending = byToken.remove(token);
    if (pending != null) {
      byIndex.put(index, pending);
    }
  }

  /** Called when a request was rejected, as this replica does not lead. */
  void onRejected(long token) {
    PendingRequest pending = byToken.remove(token);
    if (pending != null) {
      sendFailure(pending, ReplyStatus.NOT_LEADER);
    }
  }

  /** Responds to the requests whose outcome this replica, no longer the leader, can't observe. */
  void onLeadershipLost() {
    byIndex.values().forEach(pending -> sendFailure(pending, ReplyStatus.UNAVAILABLE));
    byIndex.clear();
    jobWaiters
        .values()
        .forEach(
            waiters ->
                waiters.forEach(
                    waiter ->
                        waiter
                            .client()
                            .send(
                                new QueryResponse(
                                    waiter.requestId(),
                                    ReplyStatus.UNAVAILABLE,
                                    replica.leaderAddress(),
                                    Bytes.empty()))));
    jobWaiters.clear();
  }

  private void sendFailure(PendingRequest pending, ReplyStatus status) {
    String leader = replica.leaderAddress();
    Message response =
        switch (pending.request()) {
          case ProposeRequest r ->
              new ProposeResponse(r.requestId(), status, leader, Bytes.empty());
          case QueryRequest r -> new QueryResponse(r.requestId(), status, leader, Bytes.empty());
          case HeartbeatRequest r -> failedHeartbeat(r.requestId(), status, leader);
          default -> throw new IllegalStateException("not a request: " + pending.request());
        };
    pending.client().send(response);
  }

  private static HeartbeatResponse failedHeartbeat(
      long requestId, ReplyStatus status, String leader) {
    return new HeartbeatResponse(
        requestId,
        status,
        leader,
        false,
        0,
        0,
        0,
        Optional.empty(),
        Optional.empty(),
        List.of(),
        MemberState.GONE);
  }

  /** Responds to the proposal at an index, if its proposer waits at this replica. */
  void onApplied(long index, CommandResult result) {
    PendingRequest pending = byIndex.remove(index);
    if (pending != null && pending.request() instanceof ProposeRequest request) {
      pending
          .client()
          .send(
              new ProposeResponse(
                  request.requestId(), ReplyStatus.OK, replica.leaderAddress(), result.toBytes()));
    }
  }

  /** Responds to a read: the applied state includes all that was committed before the request. */
  void onReadReady(long token, long nowMs) {
    PendingRequest pending = byToken.remove(token);
    if (pending == null) {
      return;
    }
    switch (pending.request()) {
      case HeartbeatRequest request -> pending.client().send(heartbeatResponse(request));
      case QueryRequest request -> answerQuery(pending.client(), request, nowMs);
      default -> throw new IllegalStateException("not a read: " + pending.request());
    }
  }

  private HeartbeatResponse heartbeatResponse(HeartbeatRequest request) {
    ControlState current = state.get();
    boolean entry = request.role() == Role.ENTRY;
    String nodeId = request.nodeId();
    boolean registered =
        entry
            ? current.isLiveEntry(nodeId, request.incarnation())
            : current.isCurrentAgent(nodeId, request.incarnation());
    MemberState memberState =
        current
            .agent(nodeId)
            .map(row -> current.effectiveState(row.info()))
            .orElse(MemberState.LIVE);
    return new HeartbeatResponse(
        request.requestId(),
        ReplyStatus.OK,
        replica.leaderAddress(),
        registered,
        leaseMs,
        current.clockMs(),
        current.floorMs(),
        current.settingsSince(request.settingsRevision()),
        entry ? current.membersSince(request.membersVersion()) : Optional.empty(),
        entry
            ? current.jobsAdoptedBy(nodeId, request.incarnation(), request.ownedJobIds())
            : List.of(),
        memberState);
  }

  private void answerQuery(MessageSink client, QueryRequest request, long nowMs) {
    Query query;
    try {
      query = Query.fromBytes(request.query());
    } catch (IOException e) {
      client.send(new QueryResponse(request.requestId(), ReplyStatus.INVALID, "", Bytes.empty()));
      return;
    }
    switch (query) {
      case GetJob get ->
          send(client, request.requestId(), toAnswer(state.get().job(get.jobId()), true));
      case FindJob find -> answerFindJob(client, request.requestId(), find, nowMs);
      case GetDocument get -> send(client, request.requestId(), documentVersion(get.name()));
      case GetDocumentVersion get -> {
        long newest = state.get().document(get.name()).map(DocumentRow::version).orElse(0L);
        send(client, request.requestId(), new NewestVersion(newest));
      }
      case GetReport get ->
          send(
              client,
              request.requestId(),
              new Report(Reports.render(get.report(), get.argument(), state.get(), replica)));
    }
  }

  private void answerFindJob(MessageSink client, long requestId, FindJob find, long nowMs) {
    Optional<JobRow> row = state.get().job(find.caller(), find.submissionId());
    boolean running = row.isPresent() && row.get().outcome().isEmpty();
    if (running && find.waitMs() > 0) {
      jobWaiters
          .computeIfAbsent(row.get().jobId(), id -> new ArrayList<>())
          .add(new JobWaiter(client, requestId, nowMs + find.waitMs()));
      return;
    }
    send(client, requestId, toAnswer(row, false));
  }

  private QueryAnswer documentVersion(String document) {
    return state
        .get()
        .document(document)
        .map(row -> new DocumentVersion(row.version(), row.content()))
        .orElse(new DocumentVersion(0, Bytes.empty()));
  }

  private QueryAnswer toAnswer(Optional<JobRow> found, boolean withPayloads) {
    if (found.isEmpty()) {
      return new NoSuchJob();
    }
    JobRow row = found.get();
    return new JobRecord(
        row.jobId(),
        row.epoch(),
        row.caller(),
        row.submissionId(),
        row.service(),
        row.jobClass(),
        row.team(),
        row.admittedAtMs(),
        row.deadlineAtMs(),
        row.taskCount(),
        withPayloads ? row.payloads() : List.of(),
        row.ownerEntryId(),
        row.outcome(),
        state.get().agentsLostSince(row));
  }

  private void send(MessageSink client, long requestId, QueryAnswer answer) {
    client.send(
        new QueryResponse(requestId, ReplyStatus.OK, replica.leaderAddress(), answer.toBytes()));
  }

  /** Responds to the clients that wait for a job that has ended. */
  void onJobEnded(long jobId) {
    List<JobWaiter> waiters = jobWaiters.remove(jobId);
    if (waiters != null) {
      waiters.forEach(waiter -> answerWaiter(jobId, waiter));
    }
  }

  private void answerWaiter(long jobId, JobWaiter waiter) {
    send(waiter.client(), waiter.requestId(), toAnswer(state.get().job(jobId), false));
  }

  /** Responds to the clients whose wait has expired, and removes those that have disconnected. */
  void expire(long nowMs) {
    jobWaiters.forEach(
        (jobId, waiters) -> {
          Iterator<JobWaiter> iterator = waiters.iterator();
          while (iterator.hasNext()) {
            JobWaiter waiter = iterator.next();
            if (waiter.expiresAtMs() <= nowMs || !waiter.client().isOpen()) {
              iterator.remove();
              answerWaiter(jobId, waiter);
            }
          }
        });
    jobWaiters.values().removeIf(List::isEmpty);
  }
}
