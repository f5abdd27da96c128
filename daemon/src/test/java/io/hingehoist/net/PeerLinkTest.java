package io.hingehoist.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.Role;
import io.hingehoist.metrics.Metrics;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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
  private static final long SILENT_AFTER_MS = 1_300;
  private static final long TICK_MS = 50;

  /** On loopback another connection would be there within a few milliseconds. */
  private static final long NO_OTHER_WITHIN_MS = 300;

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
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = "127.0.0.1:" + socket.getLocalPort();
    }
    // What the connections of an earlier test still bring goes to the queues of that test.
    Recorder recorder = new Recorder(received, accepted, closed);
    server = PeerServer.open(loop, address, () -> recorder, Metrics.create());
  }

  @AfterMethod
  public void close() {
    server.close();
    loop.close();
  }

  private record Recorder(
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

  private static final class Silent implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {
      channel.send(new OwnerBeat(7, true));
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {}

    @Override
    public void onClosed(PeerChannel channel) {}
  }

  private PeerLink link() throws Exception {
    var opened = new CompletableFuture<PeerLink>();
    loop.execute(
        () ->
            opened.complete(
                PeerLink.open(
                    loop,
                    address,
                    "127.0.0.1:1",
                    SILENT_AFTER_MS,
                    () -> HELLO,
                    new Silent(),
                    Metrics.create())));
    return opened.get(10, TimeUnit.SECONDS);
  }

  @Test
  public void saysHelloFirstAndConnectsAgainAfterABreak() throws Exception {
    PeerLink link = link();
    for (int round = 0; round < 2; round++) {
      assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
      assertEquals(received.poll(10, TimeUnit.SECONDS), new OwnerBeat(7, true));
      PeerChannel channel = accepted.poll(10, TimeUnit.SECONDS);
      loop.execute(channel::close);
    }
    loop.execute(link::close);
  }

  @Test
  public void givesUpAConnectionOnWhichNothingIsHeard() throws Exception {
    PeerLink link = link();
    assertTrue(accepted.poll(10, TimeUnit.SECONDS) != null);
    assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
    assertEquals(received.poll(10, TimeUnit.SECONDS), new OwnerBeat(7, true));
    loop.execute(() -> tickThrough(link, SILENT_AFTER_MS + TICK_MS));
    assertTrue(closed.poll(10, TimeUnit.SECONDS) != null);
    assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
    loop.execute(link::close);
  }

  private static void tickThrough(PeerLink link, long forMs) {
    long fromMs = EventLoop.nowMs();
    for (long passedMs = 0; passedMs <= forMs; passedMs += TICK_MS) {
      link.onTick(fromMs + passedMs);
    }
  }

  @Test
  public void aProcessThatStoodStillDoesNotTakeItsConnectionsForSilent() throws Exception {
    PeerLink link = link();
    assertTrue(accepted.poll(10, TimeUnit.SECONDS) != null);
    loop.execute(() -> link.onTick(EventLoop.nowMs() + 10 * SILENT_AFTER_MS));
    CompletableFuture<Boolean> open = new CompletableFuture<>();
    loop.execute(() -> open.complete(link.channel().isPresent()));
    assertTrue(open.get(10, TimeUnit.SECONDS));
    // A connection is replaced before it is closed, so that it is open says little alone.
    assertNull(accepted.poll(NO_OTHER_WITHIN_MS, TimeUnit.MILLISECONDS));
    loop.execute(link::close);
  }

  /**
   * The first connections of a process that was still starting fell silent. All later ones kept the
   * longer time, so that a session's lease was over before its silent connection was replaced.
   */
  @Test
  public void aSteadyConnectionIsGivenTheUsualTimeAgain() throws Exception {
    PeerLink link = link();
    assertTrue(accepted.poll(10, TimeUnit.SECONDS) != null);
    loop.execute(() -> tickThrough(link, SILENT_AFTER_MS + TICK_MS));
    PeerChannel second = accepted.poll(10, TimeUnit.SECONDS);
    assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
    assertEquals(received.poll(10, TimeUnit.SECONDS), new OwnerBeat(7, true));
    assertEquals(received.poll(10, TimeUnit.SECONDS), HELLO);
    assertEquals(onLoop(link::silentAfterMs), Long.valueOf(2 * SILENT_AFTER_MS));
    loop.scheduleRepeating(() -> second.send(new OwnerBeat(8, true)), TICK_MS);
    long giveUpAtMs = EventLoop.nowMs() + TimeUnit.SECONDS.toMillis(20);
    while (onLoop(link::silentAfterMs) != SILENT_AFTER_MS) {
      assertTrue(EventLoop.nowMs() < giveUpAtMs, "the time is still longer");
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TICK_MS));
    }
    loop.execute(link::close);
  }

  private <T> T onLoop(Supplier<T> question) throws Exception {
    CompletableFuture<T> answer = new CompletableFuture<>();
    loop.execute(() -> answer.complete(question.get()));
    return answer.get(10, TimeUnit.SECONDS);
  }

  @Test
  public void saysSoWhenNobodyListens() throws Exception {
    CompletableFuture<String> refused = new CompletableFuture<>();
    server.close();
    loop.execute(
        () ->
            PeerLink.open(
                loop,
                address,
                "127.0.0.1:1",
                SILENT_AFTER_MS,
                () -> HELLO,
                new Refusal(refused),
                Metrics.create()));
    assertEquals(refused.get(10, TimeUnit.SECONDS), "refused");
  }

  private record Refusal(CompletableFuture<String> refused) implements PeerHandler {
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
  public void garbageClosesTheConnection() throws Exception {
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(new byte[] {0, 0, 0, 3, 1, 2, 3});
      assertTrue(closed.poll(10, TimeUnit.SECONDS) != null);
    }
  }
}
