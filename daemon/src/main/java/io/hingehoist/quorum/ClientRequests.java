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
 * The requests of entries and agents that wait for the log: proposals for their result, reads for a
 * round of heartbeats, and queries for the end of a job. Owned by the control thread.
 */
final class ClientRequests {
  private record Waiting(MessageSink client, Message request) {}

  private record JobWaiter(MessageSink client, long requestId, long expiresAtMs) {}

  private final Supplier<ControlState> state;
  private final Replica replica;
  private final long leaseMs;
  private final Map<Long, Waiting> byToken = new HashMap<>();
  private final Map<Long, Waiting> byIndex = new HashMap<>();
  private final Map<Long, List<JobWaiter>> jobWaiters = new HashMap<>();
  private long nextToken;

  ClientRequests(Supplier<ControlState> state, Replica replica, long leaseMs) {
    this.state = state;
    this.replica = replica;
    this.leaseMs = leaseMs;
  }

  /** Notes a request and returns the token that stands for it. */
  long add(MessageSink client, Message request) {
    byToken.put(++nextToken, new Waiting(client, request));
    return nextToken;
  }

  /** Returns the token of a proposal that nobody waits for. */
  long addUnawaited() {
    return ++nextToken;
  }

  /** Returns whether a proposal holds a command; answers it if not. */
  static Optional<Command> commandOf(MessageSink client, ProposeRequest request) {
    try {
      return Optional.of(Command.fromBytes(request.command()));
    } catch (IOException e) {
      client.send(new ProposeResponse(request.requestId(), ReplyStatus.INVALID, "", Bytes.empty()));
      return Optional.empty();
    }
  }

  void accepted(long token, long index) {
    Waiting waiting = byToken.remove(token);
    if (waiting != null) {
      byIndex.put(index, waiting);
    }
  }

  void rejected(long token) {
    Waiting waiting = byToken.remove(token);
    if (waiting != null) {
      refuse(waiting, ReplyStatus.NOT_LEADER);
    }
  }

  /** Answers everything that this replica, no longer the leader, can't see the end of. */
  void leadershipEnded() {
    byIndex.values().forEach(waiting -> refuse(waiting, ReplyStatus.UNAVAILABLE));
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

  private void refuse(Waiting waiting, ReplyStatus status) {
    String leader = replica.leaderAddress();
    Message answer =
        switch (waiting.request()) {
          case ProposeRequest r ->
              new ProposeResponse(r.requestId(), status, leader, Bytes.empty());
          case QueryRequest r -> new QueryResponse(r.requestId(), status, leader, Bytes.empty());
          case HeartbeatRequest r -> emptyHeartbeat(r.requestId(), status, leader);
          default -> throw new IllegalStateException("not a request: " + waiting.request());
        };
    waiting.client().send(answer);
  }

  private static HeartbeatResponse emptyHeartbeat(
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

  /** Answers the proposal at an index, if its proposer waits here. */
  void applied(long index, CommandResult result) {
    Waiting waiting = byIndex.remove(index);
    if (waiting != null && waiting.request() instanceof ProposeRequest request) {
      waiting
          .client()
          .send(
              new ProposeResponse(
                  request.requestId(), ReplyStatus.OK, replica.leaderAddress(), result.toBytes()));
    }
  }

  /** Answers a read: the applied state holds everything that was committed when it was asked. */
  void readReady(long token, long nowMs) {
    Waiting waiting = byToken.remove(token);
    if (waiting == null) {
      return;
    }
    switch (waiting.request()) {
      case HeartbeatRequest request -> waiting.client().send(answer(request));
      case QueryRequest request -> answer(waiting.client(), request, nowMs);
      default -> throw new IllegalStateException("not a read: " + waiting.request());
    }
  }

  private HeartbeatResponse answer(HeartbeatRequest request) {
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

  private void answer(MessageSink client, QueryRequest request, long nowMs) {
    Query query;
    try {
      query = Query.fromBytes(request.query());
    } catch (IOException e) {
      client.send(new QueryResponse(request.requestId(), ReplyStatus.INVALID, "", Bytes.empty()));
      return;
    }
    switch (query) {
      case GetJob get ->
          send(client, request.requestId(), record(state.get().job(get.jobId()), true));
      case FindJob find -> answer(client, request.requestId(), find, nowMs);
      case GetDocument get -> send(client, request.requestId(), version(get.name()));
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

  private void answer(MessageSink client, long requestId, FindJob find, long nowMs) {
    Optional<JobRow> row = state.get().job(find.caller(), find.submissionId());
    boolean running = row.isPresent() && row.get().outcome().isEmpty();
    if (running && find.waitMs() > 0) {
      jobWaiters
          .computeIfAbsent(row.get().jobId(), id -> new ArrayList<>())
          .add(new JobWaiter(client, requestId, nowMs + find.waitMs()));
      return;
    }
    send(client, requestId, record(row, false));
  }

  private QueryAnswer version(String document) {
    return state
        .get()
        .document(document)
        .map(row -> new DocumentVersion(row.version(), row.content()))
        .orElse(new DocumentVersion(0, Bytes.empty()));
  }

  private QueryAnswer record(Optional<JobRow> found, boolean withPayloads) {
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

  /** Answers those who wait for a job that has ended. */
  void jobEnded(long jobId) {
    List<JobWaiter> waiters = jobWaiters.remove(jobId);
    if (waiters != null) {
      waiters.forEach(waiter -> answerWaiter(jobId, waiter));
    }
  }

  private void answerWaiter(long jobId, JobWaiter waiter) {
    send(waiter.client(), waiter.requestId(), record(state.get().job(jobId), false));
  }

  /** Answers those who have waited for as long as they asked to, or whose connection is gone. */
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
