package io.hingehoist.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.hingehoist.limits.ConnectionLimits;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PooledHttpClientTest {
  private static final int TIMEOUT_S = 10;
  private static final int CALL_TIMEOUT_MS = 100;
  private static final int MAX_RESPONSES_BYTES = 100_000;
  private static final long LONG_MS = 600_000;

  private EventLoop loop;
  private ServerSocket server;
  private PooledHttpClient client;

  @BeforeMethod
  public void open() throws IOException {
    loop = EventLoop.start(Throwable::printStackTrace);
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    server.setSoTimeout(TIMEOUT_S * 1_000);
    client =
        PooledHttpClient.create(
            loop, "127.0.0.1:" + server.getLocalPort(), "127.0.0.1:0", "X-Instance", 1);
  }

  @AfterMethod
  public void close() throws IOException {
    server.close();
    loop.close();
  }

  /**
   * Otherwise a request that a cut link holds up reaches a restarted server once the link heals.
   */
  @Test
  public void aCallThatTimesOutResetsItsConnection() throws Exception {
    BlockingQueue<HttpResult> results = new LinkedBlockingQueue<>();
    PooledHttpClient.Call call =
        new PooledHttpClient.Call("POST", "/x", "", new byte[0], CALL_TIMEOUT_MS, true);
    loop.execute(() -> client.call(call, results::add));
    try (Socket connection = server.accept()) {
      connection.setSoTimeout(TIMEOUT_S * 1_000);
      HttpResult result = results.poll(TIMEOUT_S, TimeUnit.SECONDS);
      assertEquals(result, new HttpResult.Unanswered());
      expectThrows(SocketException.class, () -> readToEnd(connection.getInputStream()));
    }
  }

  /** Otherwise workers that send large responses could fill the memory of their host. */
  @Test
  public void unfinishedResponseBeyondTheLimitResetsItsConnection() throws Exception {
    BlockingQueue<HttpResult> results = new LinkedBlockingQueue<>();
    ConnectionLimits limits =
        new ConnectionLimits(Integer.MAX_VALUE, MAX_RESPONSES_BYTES, LONG_MS, LONG_MS);
    try (EventLoop limited =
        EventLoop.start(Throwable::printStackTrace, ConnectionLimits.ofCallers(), limits)) {
      PooledHttpClient limitedClient =
          PooledHttpClient.create(
              limited, "127.0.0.1:" + server.getLocalPort(), "127.0.0.1:0", "X-Instance", 1);
      PooledHttpClient.Call call =
          new PooledHttpClient.Call("POST", "/x", "", new byte[0], LONG_MS, true);
      limited.execute(() -> limitedClient.call(call, results::add));
      try (Socket connection = server.accept()) {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n";
        connection.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        connection.getOutputStream().write(new byte[MAX_RESPONSES_BYTES]);
        assertEquals(results.poll(TIMEOUT_S, TimeUnit.SECONDS), new HttpResult.Unanswered());
      }
    }
  }

  private static void readToEnd(InputStream in) throws IOException {
    while (in.read() >= 0) {}
  }
}
