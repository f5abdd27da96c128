package io.hingehoist.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.wire.FreeAddresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which connection gives way when the limits of a server are reached. */
public final class HttpLimitsTest {
  private static final int TIMEOUT_S = 10;
  private static final int MAX_CONNECTIONS = 4;
  private static final int MAX_HELD_BYTES = 100_000;
  private static final int MAX_BODY_BYTES = 80_000;
  private static final long HEADER_TIMEOUT_MS = 300;
  private static final long LONG_MS = 600_000;

  private final List<AutoCloseable> resources = new ArrayList<>();
  private BlockingQueue<HttpExchange> exchanges;
  private EventLoop loop;
  private int port;

  @BeforeMethod
  public void open() throws IOException {
    exchanges = new LinkedBlockingQueue<>();
    openServer(new ConnectionLimits(MAX_CONNECTIONS, MAX_HELD_BYTES, LONG_MS, LONG_MS));
  }

  private void openServer(ConnectionLimits limits) throws IOException {
    loop = EventLoop.start(Throwable::printStackTrace, limits);
    resources.add(loop);
    port = FreeAddresses.nextPort();
    resources.add(HttpServer.open(loop, "127.0.0.1:" + port, MAX_BODY_BYTES, exchanges::add));
  }

  @AfterMethod
  public void close() throws Exception {
    for (AutoCloseable resource : resources.reversed()) {
      resource.close();
    }
    resources.clear();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
    resources.add(socket);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String head(int bodyBytes) {
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
  }

  private static String chunkedHead() {
    return "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  private static String get() {
    return "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  private HttpExchange nextExchange() throws InterruptedException {
    HttpExchange exchange = exchanges.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertTrue(exchange != null, "no request was handled");
    return exchange;
  }

  private void answer(HttpExchange exchange) {
    loop.execute(() -> exchange.answer(HttpResponse.text(200, "done")));
  }

  private void assertServed(Socket socket, String request) throws Exception {
    send(socket, request);
    answer(nextExchange());
    assertEquals(statusOf(socket), 200);
  }

  /** Returns the status of the next response, whose content is read too; -1 at the end. */
  private static int statusOf(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int c = socket.getInputStream().read();
      if (c < 0) {
        return -1;
      }
      head.append((char) c);
    }
    String length = head.toString().replaceAll("(?s).*content-length: (\\d+).*", "$1");
    socket.getInputStream().readNBytes(Integer.parseInt(length));
    return Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3));
  }

  /** Waits until the loop has handled all that arrived before. */
  private long heldBytes() throws Exception {
    CompletableFuture<Long> held = new CompletableFuture<>();
    loop.execute(() -> held.complete(loop.connections().heldBytes()));
    return held.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private int connections() throws Exception {
    CompletableFuture<Integer> open = new CompletableFuture<>();
    loop.execute(() -> open.complete(loop.connections().connections()));
    return open.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void await(Condition condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.holds()) {
      assertTrue(System.nanoTime() < deadlineNanos, "condition not met within 10 s");
      Thread.onSpinWait();
    }
  }

  @Test
  public void announcedBodyTakesNoMemoryBeforeItArrives() throws Exception {
    send(connect(), head(MAX_BODY_BYTES) + "x");
    await(() -> heldBytes() > 0);
    assertTrue(heldBytes() < 4_000, "holds " + heldBytes());
  }

  @Test
  public void largestUnfinishedRequestIsRefusedAndSmallOneIsServed() throws Exception {
    Socket large = connect();
    Socket larger = connect();
    send(large, head(70_000) + "x".repeat(40_000));
    await(() -> heldBytes() > 40_000);
    send(larger, head(70_000) + "x".repeat(69_000));
    assertEquals(statusOf(larger), 503);
    assertServed(connect(), get());
    assertServed(large, "x".repeat(30_000));
  }

  @Test
  public void refusedCallerMaySendTheRestOfItsBody() throws Exception {
    Socket caller = connect();
    send(caller, head(MAX_BODY_BYTES + 1));
    assertEquals(statusOf(caller), 413);
    send(caller, "x".repeat(MAX_BODY_BYTES + 1));
    assertEquals(statusOf(caller), -1);
    assertTrue(exchanges.isEmpty());
  }

  @Test
  public void chunkedBodyBeyondTheLimitIsRefusedBeforeItsEnd() throws Exception {
    Socket caller = connect();
    send(caller, chunkedHead());
    String chunk = "2710\r\n" + "x".repeat(10_000) + "\r\n";
    send(caller, chunk.repeat(MAX_BODY_BYTES / 10_000 + 1));
    assertEquals(statusOf(caller), 413);
    await(() -> heldBytes() == 0);
  }

  @Test
  public void requestInProgressDoesNotGiveWay() throws Exception {
    Socket running = connect();
    send(running, head(70_000) + "x".repeat(70_000));
    HttpExchange exchange = nextExchange();
    Socket refused = connect();
    send(refused, head(70_000) + "x".repeat(69_999));
    assertEquals(statusOf(refused), 503);
    answer(exchange);
    assertEquals(statusOf(running), 200);
  }

  @Test
  public void waitingRequestsGiveWayAndTheOneBeforeThemIsAnswered() throws Exception {
    Socket pipelining = connect();
    send(pipelining, get() + (head(30_000) + "x".repeat(30_000)).repeat(4));
    HttpExchange first = nextExchange();
    await(() -> heldBytes() < MAX_HELD_BYTES && heldBytes() > 0);
    Socket other = connect();
    send(other, head(60_000) + "x".repeat(60_000));
    HttpExchange second = nextExchange();
    answer(first);
    assertEquals(statusOf(pipelining), 200);
    answer(second);
    assertEquals(statusOf(other), 200);
  }

  @Test
  public void newConnectionReplacesTheOldestThatNeverSentARequest() throws Exception {
    Socket served = connect();
    assertServed(served, get());
    Socket oldest = connect();
    await(() -> connections() == 2);
    for (int i = 2; i < MAX_CONNECTIONS; i++) {
      connect();
    }
    await(() -> connections() == MAX_CONNECTIONS);
    Socket newest = connect();
    assertEquals(oldest.getInputStream().read(), -1);
    assertServed(newest, get());
    assertServed(served, get());
  }

  @Test
  public void newConnectionIsClosedWhileAllOthersHaveRequestsInProgress() throws Exception {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      send(connect(), get());
      nextExchange();
    }
    assertEquals(connect().getInputStream().read(), -1);
  }

  @Test
  public void unreadResponsesHoldUpTheRequestsBehindThem() throws Exception {
    Socket caller = connect();
    byte[] large = new byte[8_000_000];
    send(caller, get() + get());
    HttpExchange first = nextExchange();
    loop.execute(() -> first.answer(HttpResponse.json(200, large)));
    // The response is beyond the limit, and nothing reads it.
    await(() -> connections() == 0);
    assertTrue(exchanges.isEmpty());
    assertEquals(heldBytes(), 0);
  }

  @Test
  public void unfinishedHeadIsGivenUpAfterItsTimeout() throws Exception {
    close();
    openServer(new ConnectionLimits(MAX_CONNECTIONS, MAX_HELD_BYTES, HEADER_TIMEOUT_MS, LONG_MS));
    Socket slow = connect();
    send(slow, "POST /x HTTP/1.1\r\nHost");
    assertEquals(statusOf(slow), 408);
  }

  @Test
  public void fieldsOfAnUnfinishedRequestAreCounted() throws Exception {
    Socket caller = connect();
    send(caller, "POST /x HTTP/1.1\r\n" + "a:b\r\n".repeat(600) + "Content-Length: 2\r\n\r\nx");
    await(() -> heldBytes() > 600 * 100);
    assertTrue(heldBytes() <= MAX_HELD_BYTES);
  }

  @Test
  public void startOfAHeadBehindABodyIsCounted() throws Exception {
    Socket caller = connect();
    send(caller, head(1));
    await(() -> heldBytes() > 0);
    send(caller, "x" + "POST /x HTTP/1.1\r\nX-Filler: " + "x".repeat(10_000));
    answer(nextExchange());
    assertEquals(statusOf(caller), 200);
    await(() -> heldBytes() >= 10_000);
  }
}
