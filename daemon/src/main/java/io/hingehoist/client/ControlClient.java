package io.hingehoist.client;

import io.hingehoist.command.Command;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.Query;
import io.hingehoist.command.QueryAnswer;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.HeartbeatRequest;
import io.hingehoist.message.HeartbeatResponse;
import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.message.ProposeRequest;
import io.hingehoist.message.ProposeResponse;
import io.hingehoist.message.QueryRequest;
import io.hingehoist.message.QueryResponse;
import io.hingehoist.message.ReplyStatus;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.Addresses;
import io.hingehoist.wire.FrameConnection;
import io.hingehoist.wire.FrameHandler;
import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * A client of the control replicas that finds their current leader. Thread-safe.
 *
 * <p>Futures of calls that are attempted once, or up to a timeout, fail with {@link
 * ControlUnavailableException}; those of proposals never fail, because proposals are retried until
 * they are applied. All state is confined to one internal thread.
 */
public final class ControlClient implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final long ATTEMPT_TIMEOUT_MS = 1_500;
  private static final long TIMEOUT_CHECK_INTERVAL_MS = 100;
  private static final long RETRY_DELAY_MS = 50;
  private static final int MAX_QUEUED_FRAMES = 8_192;

  private record PendingRequest(CompletableFuture<Message> reply, long expiresAtMs) {}

  private final List<String> addresses;
  private final String ownAddress;
  private final Hello hello;
  private final Metrics metrics;
  private final ThreadFactory threads;
  private final ScheduledExecutorService executor;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private FrameConnection connection;
  private String targetAddress;
  private int nextAddress;
  private long nextRequestId;

  private ControlClient(
      List<String> addresses,
      String ownAddress,
      Hello hello,
      Metrics metrics,
      ThreadFactory threads) {
    this.addresses = List.copyOf(addresses);
    this.ownAddress = ownAddress;
    this.hello = hello;
    this.metrics = metrics;
    this.threads = threads;
    this.targetAddress = addresses.getFirst();
    this.executor = Executors.newSingleThreadScheduledExecutor(threads);
  }

  /**
   * Creates a client of the control replicas at the given addresses.
   *
   * @param ownAddress the address whose IP address outgoing connections are bound to
   */
  public static ControlClient create(
      List<String> addresses,
      String ownAddress,
      Hello hello,
      Metrics metrics,
      ThreadFactory threads) {
    ControlClient client = new ControlClient(addresses, ownAddress, hello, metrics, threads);
    client.executor.scheduleWithFixedDelay(
        client::checkTimeouts,
        TIMEOUT_CHECK_INTERVAL_MS,
        TIMEOUT_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
    return client;
  }

  /** Proposes a command, retries until it is known to be applied, and returns the result. */
  public CompletableFuture<CommandResult> propose(Command command) {
    CompletableFuture<CommandResult> result = new CompletableFuture<>();
    attemptProposal(command.toBytes(), result);
    return result;
  }

  private void attemptProposal(Bytes command, CompletableFuture<CommandResult> result) {
    attempt(id -> new ProposeRequest(id, command), ATTEMPT_TIMEOUT_MS)
        .whenComplete(
            (reply, failure) -> {
              boolean done =
                  reply instanceof ProposeResponse response && response.status() == ReplyStatus.OK;
              if (done) {
                complete(result, ((ProposeResponse) reply).result());
              } else {
                scheduleRetry(() -> attemptProposal(command, result));
              }
            });
  }

  private static void complete(CompletableFuture<CommandResult> result, Bytes bytes) {
    try {
      result.complete(CommandResult.fromBytes(bytes));
    } catch (IOException e) {
      result.completeExceptionally(e);
    }
  }

  /**
   * Queries the current leader. Retries when the leader changes, because a query can be repeated
   * safely. Fails if no leader answers within {@code timeoutMs}.
   */
  public CompletableFuture<QueryAnswer> query(Query query, long timeoutMs) {
    CompletableFuture<QueryAnswer> result = new CompletableFuture<>();
    attemptQuery(query.toBytes(), nowMs() + timeoutMs, result);
    return result;
  }

  private void attemptQuery(Bytes query, long deadlineMs, CompletableFuture<QueryAnswer> result) {
    attempt(id -> new QueryRequest(id, query), deadlineMs - nowMs())
        .whenComplete(
            (reply, failure) -> {
              ReplyStatus status =
                  reply instanceof QueryResponse response
                      ? response.status()
                      : ReplyStatus.UNAVAILABLE;
              boolean canRetry = nowMs() + RETRY_DELAY_MS < deadlineMs;
              if (status == ReplyStatus.OK) {
                completeQuery(result, ((QueryResponse) reply).result());
              } else if (status != ReplyStatus.INVALID && canRetry) {
                scheduleRetry(() -> attemptQuery(query, deadlineMs, result));
              } else {
                result.completeExceptionally(new ControlUnavailableException("no leader answers"));
              }
            });
  }

  private static void completeQuery(CompletableFuture<QueryAnswer> result, Bytes bytes) {
    try {
      result.complete(QueryAnswer.fromBytes(bytes));
    } catch (IOException e) {
      result.completeExceptionally(
          new ControlUnavailableException("unreadable query result: " + e.getMessage()));
    }
  }

  /**
   * Sends a heartbeat once.
   *
   * @param request creates the request for a given request id
   */
  public CompletableFuture<HeartbeatResponse> heartbeat(LongFunction<HeartbeatRequest> request) {
    return attempt(request::apply, ATTEMPT_TIMEOUT_MS)
        .thenApply(
            reply -> {
              if (reply instanceof HeartbeatResponse response
                  && response.status() == ReplyStatus.OK) {
                return response;
              }
              throw new ControlUnavailableException("no leader answers");
            });
  }

  private CompletableFuture<Message> attempt(LongFunction<Message> request, long timeoutMs) {
    CompletableFuture<Message> reply = new CompletableFuture<>();
    run(() -> send(request, timeoutMs, reply));
    return reply;
  }

  private void send(
      LongFunction<Message> request, long timeoutMs, CompletableFuture<Message> reply) {
    long requestId = ++nextRequestId;
    if (!isConnected() && !connect()) {
      reply.completeExceptionally(
          new ControlUnavailableException("failed to connect to a control replica"));
      return;
    }
    pending.put(requestId, new PendingRequest(reply, nowMs() + timeoutMs));
    if (!connection.send(request.apply(requestId))) {
      dropConnection("the connection was lost");
    }
  }

  private boolean isConnected() {
    return connection != null && connection.isOpen();
  }

  private boolean connect() {
    try {
      Socket socket = Addresses.connect(targetAddress, ownAddress, CONNECT_TIMEOUT_MS);
      connection = FrameConnection.start(socket, handler(), metrics, threads, MAX_QUEUED_FRAMES);
      connection.send(hello);
      return true;
    } catch (IOException e) {
      selectNextAddress();
      return false;
    }
  }

  private void selectNextAddress() {
    nextAddress = (nextAddress + 1) % addresses.size();
    targetAddress = addresses.get(nextAddress);
  }

  private FrameHandler handler() {
    return new FrameHandler() {
      @Override
      public void onMessage(FrameConnection from, Message message) {
        run(() -> receive(message));
      }

      @Override
      public void onClosed(FrameConnection from) {
        run(
            () -> {
              if (from == connection) {
                dropConnection("the connection was lost");
              }
            });
      }
    };
  }

  private void receive(Message message) {
    switch (message) {
      case ProposeResponse r ->
          completeRequest(r.requestId(), r.status(), r.leaderAddress(), message);
      case QueryResponse r ->
          completeRequest(r.requestId(), r.status(), r.leaderAddress(), message);
      case HeartbeatResponse r ->
          completeRequest(r.requestId(), r.status(), r.leaderAddress(), message);
      default -> dropConnection("unexpected message: " + message.getClass().getSimpleName());
    }
  }

  private void completeRequest(long requestId, ReplyStatus status, String leader, Message message) {
    PendingRequest request = pending.remove(requestId);
    if (request != null) {
      request.reply().complete(message);
    }
    if (status == ReplyStatus.NOT_LEADER) {
      followLeader(leader);
    }
  }

  private void followLeader(String leader) {
    if (leader.isEmpty()) {
      selectNextAddress();
    } else if (!leader.equals(targetAddress)) {
      targetAddress = leader;
    } else {
      return;
    }
    closeConnection("another replica is the leader");
  }

  /** Drops the connection if a response is overdue: the replica may be paused or unreachable. */
  private void checkTimeouts() {
    long now = nowMs();
    boolean timedOut = pending.values().stream().anyMatch(request -> request.expiresAtMs() <= now);
    if (timedOut) {
      dropConnection("no response in time");
    }
  }

  private void dropConnection(String reason) {
    selectNextAddress();
    closeConnection(reason);
  }

  private void closeConnection(String reason) {
    if (connection != null) {
      connection.close();
      connection = null;
    }
    List<PendingRequest> failed = List.copyOf(pending.values());
    pending.clear();
    failed.forEach(
        request -> request.reply().completeExceptionally(new ControlUnavailableException(reason)));
  }

  private void run(Runnable action) {
    try {
      executor.execute(action);
    } catch (RejectedExecutionException e) {
      // The client is closed, so the action is no longer needed.
    }
  }

  private void scheduleRetry(Runnable action) {
    try {
      executor.schedule(action, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The client is closed, so the action is no longer needed.
    }
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Closes the connection. The futures of pending proposals are never completed. */
  @Override
  public void close() {
    executor.shutdownNow();
    if (connection != null) {
      connection.close();
    }
  }
}
