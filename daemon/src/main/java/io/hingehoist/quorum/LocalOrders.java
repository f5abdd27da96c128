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

/** Carries operators' orders out by the replica of this process. Owned by the event loop. */
public final class LocalOrders implements OperatorCommands {
  private static final long TIMEOUT_MS = 2_500;

  /** Who gives the orders, for the audit trail: the door does not learn more of them. */
  private static final String OPERATOR = "operator";

  private final ControlNode control;
  private final EventLoop loop;
  private final String document;
  private final Map<Long, Consumer<Result>> pending = new HashMap<>();
  private long nextRequest;

  private LocalOrders(ControlNode control, EventLoop loop, String document) {
    this.control = control;
    this.loop = loop;
    this.document = document;
  }

  /** Returns the orders of a replica, whose configuration is a document of the log. */
  public static LocalOrders of(ControlNode control, EventLoop loop, String document) {
    return new LocalOrders(control, loop, document);
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

  private void changeZone(ChangeZone order, Consumer<Result> result) {
    Bytes command = order.toBytes();
    submit(id -> new ProposeRequest(id, command), result);
  }

  @Override
  public void readNewest(Consumer<Result> result) {
    Bytes query = new GetDocument(document).toBytes();
    submit(id -> new QueryRequest(id, query), result);
  }

  private void submit(java.util.function.LongFunction<Message> request, Consumer<Result> result) {
    long id = ++nextRequest;
    pending.put(id, result);
    control.submit(new Sink(), request.apply(id));
    loop.schedule(() -> settle(id, new Result.Unknown()), TIMEOUT_MS);
  }

  private void settle(long id, Result result) {
    Consumer<Result> waiting = pending.remove(id);
    if (waiting != null) {
      waiting.accept(result);
    }
  }

  private void take(Message answer) {
    switch (answer) {
      case ProposeResponse r -> settle(r.requestId(), result(r.status(), r.leaderAddress(), r));
      case QueryResponse r -> settle(r.requestId(), result(r.status(), r.leaderAddress(), r));
      default -> throw new IllegalStateException("not an answer: " + answer);
    }
  }

  private static Result result(ReplyStatus status, String leader, Message answer) {
    return switch (status) {
      case OK -> decode(answer);
      case NOT_LEADER ->
          new Result.NotLeader(leader.isEmpty() ? Optional.empty() : Optional.of(leader));
      case UNAVAILABLE, INVALID -> new Result.Unknown();
    };
  }

  private static Result decode(Message answer) {
    try {
      return switch (answer) {
        case ProposeResponse r -> toResult(CommandResult.fromBytes(r.result()));
        case QueryResponse r -> toResult(QueryAnswer.fromBytes(r.result()));
        default -> new Result.Unknown();
      };
    } catch (IOException e) {
      throw new IllegalStateException("an answer of this process can't be read", e);
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

  /** Brings answers of the control thread to the event loop. */
  private final class Sink implements MessageSink {
    @Override
    public boolean send(Message message) {
      loop.execute(() -> take(message));
      return true;
    }

    @Override
    public boolean isOpen() {
      return true;
    }
  }
}
