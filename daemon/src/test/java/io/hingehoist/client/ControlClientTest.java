package io.hingehoist.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.hingehoist.command.GetJob;
import io.hingehoist.command.NoSuchJob;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.message.QueryRequest;
import io.hingehoist.message.QueryResponse;
import io.hingehoist.message.ReplyStatus;
import io.hingehoist.message.Role;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.FrameConnection;
import io.hingehoist.wire.FrameHandler;
import io.hingehoist.wire.FrameServer;
import io.hingehoist.wire.FreeAddresses;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ControlClientTest {
  private static final ThreadFactory THREADS = Thread.ofVirtual().factory();

  private final AtomicInteger queryCount = new AtomicInteger();
  private int refusalCount;
  private ReplyStatus refusalStatus;
  private FrameServer replica;
  private ControlClient client;

  @BeforeMethod
  public void openReplica() throws IOException {
    queryCount.set(0);
    String address = FreeAddresses.next();
    Metrics metrics = Metrics.create();
    replica =
        FrameServer.open(address, this::handler, metrics, THREADS, 16, ConnectionLimits.ofPeers());
    Hello hello = new Hello(Role.ENTRY, "entry", 1, "", FrameConnection.PROTOCOL_VERSION);
    client = ControlClient.create(List.of(address), "127.0.0.1:1", hello, metrics, THREADS);
  }

  @AfterMethod
  public void close() {
    client.close();
    replica.close();
  }

  private FrameHandler handler() {
    return new FrameHandler() {
      @Override
      public void onMessage(FrameConnection connection, Message message) {
        if (message instanceof QueryRequest request) {
          connection.send(answer(request));
        }
      }

      @Override
      public void onClosed(FrameConnection connection) {}
    };
  }

  private QueryResponse answer(QueryRequest request) {
    boolean refused = queryCount.incrementAndGet() <= refusalCount;
    return refused
        ? new QueryResponse(request.requestId(), refusalStatus, "", Bytes.empty())
        : new QueryResponse(request.requestId(), ReplyStatus.OK, "", new NoSuchJob().toBytes());
  }

  @Test
  public void queryIsRetriedWhileTheLeaderChanges() {
    refusalCount = 2;
    refusalStatus = ReplyStatus.NOT_LEADER;
    assertEquals(client.query(new GetJob(1), 30_000).join(), new NoSuchJob());
    assertEquals(queryCount.get(), 3);
  }

  @Test
  public void queryWithoutALeaderFailsAfterItsTimeout() {
    refusalCount = Integer.MAX_VALUE;
    refusalStatus = ReplyStatus.UNAVAILABLE;
    CompletionException failure =
        expectThrows(CompletionException.class, () -> client.query(new GetJob(1), 300).join());
    assertEquals(failure.getCause().getClass(), ControlUnavailableException.class);
  }

  @Test
  public void invalidQueryIsNotRetried() {
    refusalCount = Integer.MAX_VALUE;
    refusalStatus = ReplyStatus.INVALID;
    expectThrows(CompletionException.class, () -> client.query(new GetJob(1), 30_000).join());
    assertEquals(queryCount.get(), 1);
  }
}
