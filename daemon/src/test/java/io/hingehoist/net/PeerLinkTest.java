package io.hingehoist.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.Role;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.FreeAddresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PeerLinkTest {
  private static final long SILENCE_TIMEOUT_MS = 1_300;
  private static final long TICK_MS = 50;
  private static final int CLOSED_CONNECTIONS = 6;

  /** Half of the sum of 100, 200, 400, 800 and 1,600 ms. */
  private static final long MIN_DELAYS_MS = 1_550;

  /** On loopback, another connection would open within a few milliseconds. */
  private static final long NO_CONNECTION_WITHIN_MS = 300;

  private static final Hello HELLO = new Hello(Role.AGENT, "h", 1, "", 1);

  private BlockingQueue<Message> received;
  private BlockingQueue<PeerChannel> accepted;
  private BlockingQueue<PeerChannel> closed;
  private EventLoop loop;
  private String address;
  private PeerServer server;

  @BeforeMethod
  public void open() throws IOException {
    received = new LinkedBlockingQueue<>();
    accepted = new LinkedBlockingQueue<>();
    closed = new LinkedBlockingQueue<>();
    loop = EventLoop.start(Throwable::printStackTrace);
    address = FreeAddresses.next();
    // Late messages on connections of an earlier test go to the queues of that test.
    RecordingHandler recorder = new RecordingHandler(received, accepted, closed);
    server = PeerServer.open(loop, address, () -> recorder, Metrics.create());
  }

  @AfterMethod
  public void close() {
    server.close();
    loop.close();
  }

  private record RecordingHandler(
      BlockingQueue<Message> messages,
      BlockingQueue<PeerChannel> opened,
      BlockingQueue<PeerChannel> ended)
      implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {
      opened.add(channel);
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      messages.add(message);
    }

    @Override
    public void onClosed(PeerChannel channel) {
      ended.add(channel);
    }
  }

  private static final class SendOnceHandler implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {
      channel.send(new OwnerBeat(7, true));
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {}

    @Override
    public void onClosed(PeerChannel channel) {}
  }

  private PeerLink openLink() throws Exception {
    var opened = new CompletableFuture<PeerLink>();
    loop.execute(
        () ->
            opened.complete(
                PeerLink.open(
                    loop,
                    address,
                    "127.0.0.1:1",
                    SILENCE_TIMEOUT_MS,
                    () -> HELLO,
                    new SendOnceHandler(),
                    Metrics.create())));
    return opened.get(10, TimeUnit.SECONDS);
  }

  @Test
  public void sendsHelloFirstAndReconnects() throws Exception {
    PeerLink link = openLink();
    for (int attempt = 0; attempt < 2; attempt++) {
      assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
      assertEquals(received.poll(10, TimeUnit.SECONDS), new OwnerBeat(7, true));
      PeerChannel channel = accepted.poll(10, TimeUnit.SECONDS);
      loop.execute(channel::close);
    }
    loop.execute(link::close);
  }

  /** Links whose connections were closed at once kept a full server busy with new ones. */
  @Test
  public void aLinkWhoseConnectionsAreClosedAtOnceBacksOff() throws Exception {
    long startMs = EventLoop.nowMs();
    PeerLink link = openLink();
    for (int i = 0; i < CLOSED_CONNECTIONS; i++) {
      PeerChannel channel = accepted.poll(10, TimeUnit.SECONDS);
      loop.execute(channel::close);
    }
    long elapsedMs = EventLoop.nowMs() - startMs;
    assertTrue(elapsedMs >= MIN_DELAYS_MS, elapsedMs + " ms");
    loop.execute(link::close);
  }

  @Test
  public void replacesASilentConnection() throws Exception {
    PeerLink link = openLink();
    assertTrue(accepted.poll(10, TimeUnit.SECONDS) != null);
    assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
    assertEquals(received.poll(10, TimeUnit.SECONDS), new OwnerBeat(7, true));
    loop.execute(() -> tickFor(link, SILENCE_TIMEOUT_MS + TICK_MS));
    assertTrue(closed.poll(10, TimeUnit.SECONDS) != null);
    assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
    loop.execute(link::close);
  }

  private static void tickFor(PeerLink link, long durationMs) {
    long startMs = EventLoop.nowMs();
    for (long elapsedMs = 0; elapsedMs <= durationMs; elapsedMs += TICK_MS) {
      link.onTick(startMs + elapsedMs);
    }
  }

  @Test
  public void connectionsAreNotSilentAfterAPauseOfThisProcess() throws Exception {
    PeerLink link = openLink();
    assertTrue(accepted.poll(10, TimeUnit.SECONDS) != null);
    loop.execute(() -> link.onTick(EventLoop.nowMs() + 10 * SILENCE_TIMEOUT_MS));
    CompletableFuture<Boolean> open = new CompletableFuture<>();
    loop.execute(() -> open.complete(link.channel().isPresent()));
    assertTrue(open.get(10, TimeUnit.SECONDS));
    // A replaced connection stays open until the new one opens, so the check above is not enough.
    assertNull(accepted.poll(NO_CONNECTION_WITHIN_MS, TimeUnit.MILLISECONDS));
    loop.execute(link::close);
  }

  /**
   * Guards against a timeout that stays longer after the first connections of a starting process
   * fell silent: a session's lease would then expire before its silent connection is replaced.
   */
  @Test
  public void aSteadyConnectionHasTheUsualTimeoutAgain() throws Exception {
    PeerLink link = openLink();
    assertTrue(accepted.poll(10, TimeUnit.SECONDS) != null);
    loop.execute(() -> tickFor(link, SILENCE_TIMEOUT_MS + TICK_MS));
    PeerChannel second = accepted.poll(10, TimeUnit.SECONDS);
    assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
    assertEquals(received.poll(10, TimeUnit.SECONDS), new OwnerBeat(7, true));
    assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
    assertEquals(onLoop(link::silenceTimeoutMs), Long.valueOf(2 * SILENCE_TIMEOUT_MS));
    loop.scheduleRepeating(() -> second.send(new OwnerBeat(8, true)), TICK_MS);
    long deadlineMs = EventLoop.nowMs() + TimeUnit.SECONDS.toMillis(20);
    while (onLoop(link::silenceTimeoutMs) != SILENCE_TIMEOUT_MS) {
      assertTrue(EventLoop.nowMs() < deadlineMs, "the timeout is still longer than usual");
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TICK_MS));
    }
    loop.execute(link::close);
  }

  private <T> T onLoop(Supplier<T> value) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(value.get()));
    return result.get(10, TimeUnit.SECONDS);
  }

  @Test
  public void reportsARefusedConnection() throws Exception {
    CompletableFuture<String> refused = new CompletableFuture<>();
    server.close();
    loop.execute(
        () ->
            PeerLink.open(
                loop,
                address,
                "127.0.0.1:1",
                SILENCE_TIMEOUT_MS,
                () -> HELLO,
                new RefusalHandler(refused),
                Metrics.create()));
    assertEquals(refused.get(10, TimeUnit.SECONDS), "refused");
  }

  private record RefusalHandler(CompletableFuture<String> refused) implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {
      refused.complete("open");
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {}

    @Override
    public void onClosed(PeerChannel channel) {}

    @Override
    public void onRefused() {
      refused.complete("refused");
    }
  }

  @Test
  public void invalidFrameClosesTheConnection() throws Exception {
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(new byte[] {0, 0, 0, 3, 1, 2, 3});
      assertTrue(closed.poll(10, TimeUnit.SECONDS) != null);
    }
  }
}
