package io.hingehoist.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.wire.FreeAddresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class HttpServerTest {
  private static final long TIMEOUT_S = 10;
  private static final int MAX_BODY_BYTES = 64 * 1024;

  private BlockingQueue<String> events;
  private EventLoop loop;
  private HttpServer server;
  private int port;

  @BeforeMethod
  public void open() throws IOException {
    events = new LinkedBlockingQueue<>();
    loop = EventLoop.start(Throwable::printStackTrace);
    port = FreeAddresses.nextPort();
    server = HttpServer.open(loop, "127.0.0.1:" + port, MAX_BODY_BYTES, this::handle);
  }

  @AfterMethod
  public void close() {
    server.close();
    loop.close();
  }

  /** Defers its work to a later task of the loop, as nodes do. */
  private void handle(HttpExchange exchange) {
    events.add("request");
    exchange.startWork(
        () -> loop.execute(() -> events.add("work")), () -> events.add("disconnected"));
    loop.execute(() -> startLaterWork(exchange));
  }

  private void startLaterWork(HttpExchange exchange) {
    boolean started =
        exchange.startWork(
            () -> events.add("later work"), () -> events.add("later work cancelled"));
    events.add("later work started: " + started);
  }

  @DataProvider
  public static Object[][] disconnections() {
    return new Object[][] {{"closed", 0}, {"closed", 10_000}, {"reset", 0}, {"reset", 10_000}};
  }

  /** Otherwise a process that was paused works for callers that disconnected meanwhile. */
  @Test(dataProvider = "disconnections")
  public void aDisconnectionIsHandledBeforeTheWorkOfARequestThatItFollows(String how, int bodyBytes)
      throws Exception {
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch disconnected = new CountDownLatch(1);
    loop.execute(
        () -> {
          paused.countDown();
          awaitUninterruptibly(disconnected);
        });
    assertTrue(paused.await(TIMEOUT_S, TimeUnit.SECONDS));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoLinger(how.equals("reset"), 0);
      socket.getOutputStream().write(request(bodyBytes));
    }
    disconnected.countDown();
    assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "request");
    assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "disconnected");
    assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "work");
    assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "later work started: false");
  }

  /** A job was started for a caller that had disconnected while its route was read. */
  @Test
  public void allWorkOfARequestIsCancelledOnceItsCallerDisconnects() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(request(0));
      assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "request");
      assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "work");
      assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "later work");
      assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "later work started: true");
    }
    assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "disconnected");
    assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "later work cancelled");
  }

  /** A job began anew for a caller that had long submitted it to another owner. */
  @Test
  public void theTimeForWhichARequestWaitsOnItsConnectionCountsToItsDeadline() throws Exception {
    long timeoutMs = 50;
    int pipelinedPort = FreeAddresses.nextPort();
    BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
    try (HttpServer pipelined =
            HttpServer.open(loop, "127.0.0.1:" + pipelinedPort, MAX_BODY_BYTES, exchanges::add);
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), pipelinedPort)) {
      socket.getOutputStream().write((text(0) + text(0)).getBytes(StandardCharsets.US_ASCII));
      HttpExchange first = exchanges.poll(TIMEOUT_S, TimeUnit.SECONDS);
      loop.schedule(() -> first.answer(HttpResponse.text(200, "done")), timeoutMs);
      HttpExchange second = exchanges.poll(TIMEOUT_S, TimeUnit.SECONDS);
      loop.execute(
          () -> {
            second.disconnectAfter(timeoutMs);
            second.startWork(() -> events.add("started"), () -> events.add("cancelled"));
            events.add("open exchanges: " + pipelined.openExchanges());
          });
      assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "open exchanges: 0");
    }
  }

  /** A process ran out of memory while it held as many large bodies as there were callers. */
  @Test
  public void aBodyBeyondTheBudgetIsRefusedUntilAnotherIsAnswered() throws Exception {
    int budgetedPort = FreeAddresses.nextPort();
    BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
    ConnectionLimits limits = new ConnectionLimits(100, 50_000, 5_000, 20_000);
    try (EventLoop budgetedLoop = EventLoop.start(Throwable::printStackTrace, limits);
        HttpServer budgeted =
            HttpServer.open(
                budgetedLoop, "127.0.0.1:" + budgetedPort, MAX_BODY_BYTES, exchanges::add);
        Socket first = new Socket(InetAddress.getLoopbackAddress(), budgetedPort);
        Socket second = new Socket(InetAddress.getLoopbackAddress(), budgetedPort)) {
      assertEquals(budgeted.openExchanges(), 0);
      first.getOutputStream().write(request(30_000));
      HttpExchange held = exchanges.poll(TIMEOUT_S, TimeUnit.SECONDS);
      second.getOutputStream().write(request(30_000));
      assertEquals(statusLine(second), "HTTP/1.1 503 Service Unavailable");
      budgetedLoop.execute(() -> held.answer(HttpResponse.text(200, "done")));
      assertEquals(statusLine(first), "HTTP/1.1 200 OK");
      first.getOutputStream().write(request(30_000));
      assertEquals(exchanges.poll(TIMEOUT_S, TimeUnit.SECONDS).request().body().length, 30_000);
    }
  }

  private static String statusLine(Socket socket) throws IOException {
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
    StringBuilder line = new StringBuilder();
    for (int c = socket.getInputStream().read(); c != '\r'; c = socket.getInputStream().read()) {
      line.append((char) c);
    }
    return line.toString();
  }

  private static byte[] request(int bodyBytes) {
    return text(bodyBytes).getBytes(StandardCharsets.US_ASCII);
  }

  private static String text(int bodyBytes) {
    String head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    return head + "b".repeat(bodyBytes);
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      assertTrue(latch.await(TIMEOUT_S, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
