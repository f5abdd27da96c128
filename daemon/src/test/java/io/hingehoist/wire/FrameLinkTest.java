package io.hingehoist.wire;

import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.message.Role;
import io.hingehoist.metrics.Metrics;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Guards against links that never replace a silent connection. A connection may fall silent while
 * the peer works and sends on another one, so each connection must be checked by what is received
 * on it, both between an entry and an agent and between two replicas.
 */
public final class FrameLinkTest {
  private static final Hello HELLO = new Hello(Role.CONTROL, "r", 0, "", 1);
  private static final int TIMEOUT_SECONDS = 20;
  private static final int CLOSED_CONNECTIONS = 6;

  /** Half of the sum of 100, 200, 400, 800 and 1,600 ms. */
  private static final long MIN_DELAYS_MS = 1_550;

  private static final FrameHandler IGNORING_HANDLER =
      new FrameHandler() {
        @Override
        public void onMessage(FrameConnection connection, Message message) {}

        @Override
        public void onClosed(FrameConnection connection) {}
      };

  @Test
  public void aSilentConnectionIsReplaced() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        FrameLink link = linkTo(server)) {
      server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      try (Socket silent = server.accept();
          Socket next = server.accept()) {
        assertTrue(silent.isConnected() && next.isConnected(), link.address());
      }
    }
  }

  @Test
  public void aConnectionWithKeepAlivesIsKept() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        FrameLink link = linkTo(server);
        FrameConnection answering =
            FrameConnection.start(
                server.accept(), countDownOnClose(closed), Metrics.create(), Thread::new, 100)) {
      assertTrue(answering.isOpen(), link.address());
      // Three times the timeout after which a silent connection is closed.
      assertTrue(!closed.await(7, TimeUnit.SECONDS), "the connection was closed");
    }
  }

  /** Links whose connections were closed at once kept a full server busy with new ones. */
  @Test
  public void aLinkWhoseConnectionsAreClosedAtOnceBacksOff() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        FrameLink link = linkTo(server)) {
      server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      long startNanos = System.nanoTime();
      for (int i = 0; i < CLOSED_CONNECTIONS; i++) {
        server.accept().close();
      }
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      assertTrue(elapsedMs >= MIN_DELAYS_MS, link.address() + ": " + elapsedMs + " ms");
    }
  }

  private static FrameHandler countDownOnClose(CountDownLatch closed) {
    return new FrameHandler() {
      @Override
      public void onMessage(FrameConnection connection, Message message) {}

      @Override
      public void onClosed(FrameConnection connection) {
        closed.countDown();
      }
    };
  }

  private static FrameLink linkTo(ServerSocket server) throws IOException {
    return FrameLink.open(
        "127.0.0.1:" + server.getLocalPort(),
        "127.0.0.1:1",
        HELLO,
        IGNORING_HANDLER,
        Metrics.create(),
        Thread::new,
        100);
  }
}
