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
 * A connection may fall silent for good while the peer is well and heard on another. A link between
 * an entry and an agent, or between two replicas, then kept it for ever: the first was never looked
 * at, the second only by what the peer said on its own connection.
 */
public final class FrameLinkTest {
  private static final Hello HELLO = new Hello(Role.CONTROL, "r", 0, "", 1);
  private static final int PATIENCE_SECONDS = 20;

  private static final FrameHandler IGNORES =
      new FrameHandler() {
        @Override
        public void onMessage(FrameConnection connection, Message message) {}

        @Override
        public void onClosed(FrameConnection connection) {}
      };

  @Test
  public void aConnectionOnWhichNothingIsHeardIsReplaced() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        FrameLink link = linkTo(server)) {
      server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
      try (Socket silent = server.accept();
          Socket next = server.accept()) {
        assertTrue(silent.isConnected() && next.isConnected(), link.address());
      }
    }
  }

  @Test
  public void aConnectionWhoseOtherEndAnswersIsKept() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        FrameLink link = linkTo(server);
        FrameConnection answering =
            FrameConnection.start(
                server.accept(), closedBy(closed), Metrics.create(), Thread::new, 100)) {
      assertTrue(answering.isOpen(), link.address());
      // Three times as long as an answer is waited for.
      assertTrue(!closed.await(7, TimeUnit.SECONDS), "the connection was given up");
    }
  }

  private static FrameHandler closedBy(CountDownLatch closed) {
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
        IGNORES,
        Metrics.create(),
        Thread::new,
        100);
  }
}
