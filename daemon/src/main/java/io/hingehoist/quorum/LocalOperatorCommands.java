package io.hingehoist.quorum;

import io.hingehoist.adapter.OperatorCommands;
import io.hingehoist.command.ChangeZone;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.DocumentAccepted;
import io.hingehoist.command.DocumentConflict;
import io.hingehoist.command.DocumentVersion;
import io.hingehoist.command.GetDocument;
import io.hingehoist.command.PublishDocument;
import io.hingehoist.command.QueryAnswer;
import io.hingehoist.command.ZoneAccepted;
import io.hingehoist.command.ZoneRefused;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.Message;
import io.hingehoist.message.ProposeRequest;
import io.hingehoist.message.ProposeResponse;
import io.hingehoist.message.QueryRequest;
import io.hingehoist.message.QueryResponse;
import io.hingehoist.message.ReplyStatus;
import io.hingehoist.net.EventLoop;
import io.hingehoist.wire.MessageSink;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Submits operators' commands to the replica of this process. Not thread-safe: confined to the
 * event loop.
 */
public final class LocalOperatorCommands implements OperatorCommands {
  private static final long TIMEOUT_MS = 2_500;

  /** The operator in the audit trail, as the platform's interface does not identify operators. */
  private static final String OPERATOR = "operator";

  private final ControlNode control;
  private final EventLoop loop;
  private final String document;
  private final Map<Long, Consumer<Result>> pending = new HashMap<>();
  private long lastRequestId;

  private LocalOperatorCommands(ControlNode control, EventLoop loop, String document) {
    this.control = control;
    this.loop = loop;
    this.document = document;
  }

  /**
   * Returns the commands for a replica, with the name of the document that holds the configuration.
   */
  public static LocalOperatorCommands of(ControlNode control, EventLoop loop, String document) {
    return new LocalOperatorCommands(control, loop, document);
  }

  @Override
  public void publish(long version, Bytes content, Consumer<Result> result) {
    Bytes command = new PublishDocument(document, version, content).toBytes();
    submit(id -> new ProposeRequest(id, command), result);
  }

  @Override
  public void evacuate(String zone, Consumer<Result> result) {
    changeZone(new ChangeZone(zone, true, OPERATOR), result);
  }

  @Override
  public void restore(String zone, Consumer<Result> result) {
    changeZone(new ChangeZone(zone, false, OPERATOR), result);
  }

  private void changeZone(ChangeZone change, Consumer<Result> result) {
    Bytes command = change.toBytes();
    submit(id -> new ProposeRequest(id, command), result);
  }

  @Override
  public void readNewest(Consumer<Result> result) {
    Bytes query = new GetDocument(document).toBytes();
    submit(id -> new QueryRequest(id, query), result);
  }

  private void submit(java.util.function.LongFunction<Message> request, Consumer<Result> result) {
    long id = ++lastRequestId;
    pending.put(id, result);
    control.submit(new ResponseSink(), request.apply(id));
    loop.schedule(() -> complete(id, new Result.Unknown()), TIMEOUT_MS);
  }

  private void complete(long id, Result result) {
    Consumer<Result> receiver = pending.remove(id);
    if (receiver != null) {
      receiver.accept(result);
    }
  }

  private void handleResponse(Message response) {
    switch (response) {
      case ProposeResponse r -> complete(r.requestId(), result(r.status(), r.leaderAddress(), r));
      case QueryResponse r -> complete(r.requestId(), result(r.status(), r.leaderAddress(), r));
      default -> throw new IllegalStateException("not a response: " + response);
    }
  }

  private static Result result(ReplyStatus status, String leader, Message response) {
    return switch (status) {
      case OK -> decode(response);
      case NOT_LEADER ->
          new Result.NotLeader(leader.isEmpty() ? Optional.empty() : Optional.of(leader));
      case UNAVAILABLE, INVALID -> new Result.Unknown();
    };
  }

  private static Result decode(Message response) {
    try {
      return switch (response) {
        case ProposeResponse r -> toResult(CommandResult.fromBytes(r.result()));
        case QueryResponse r -> toResult(QueryAnswer.fromBytes(r.result()));
        default -> new Result.Unknown();
      };
    } catch (IOException e) {
      throw new IllegalStateException("can't decode a response of this process", e);
    }
  }

  private static Result toResult(CommandResult result) {
    return switch (result) {
      case DocumentAccepted accepted -> new Result.Accepted(accepted.heldVersion());
      case DocumentConflict conflict -> new Result.Conflict(conflict.heldVersion());
      case ZoneAccepted accepted -> new Result.Accepted(accepted.version());
      case ZoneRefused refused -> new Result.Refused(refused.detail());
      default -> new Result.Unknown();
    };
  }

  private static Result toResult(QueryAnswer answer) {
    return answer instanceof DocumentVersion version
        ? new Result.Newest(version.version(), version.content())
        : new Result.Unknown();
  }

  /** Passes responses from the control thread to the event loop. */
  private final class ResponseSink implements MessageSink {
    @Override
    public boolean send(Message message) {
      loop.execute(() -> handleResponse(message));
      return true;
    }

    @Override
    public boolean isOpen() {
      return true;
    }
  }
}
