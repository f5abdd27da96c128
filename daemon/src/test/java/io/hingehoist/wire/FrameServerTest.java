package io.hingehoist.wire;

import static org.testng.Assert.assertEquals;

import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

public final class FrameServerTest {
  private static final int READ_TIMEOUT_MS = 10_000;
  private static final int END_OF_STREAM = -1;

  private static final class IgnoringHandler implements FrameHandler {
    @Override
    public void onMessage(FrameConnection connection, Message message) {}

    @Override
    public void onClosed(FrameConnection connection) {}
  }

  /**
   * Guards against an accepted connection that no thread reads. It looks open to its peer, which
   * therefore opens no other one.
   */
  @Test
  public void aConnectionAcceptedWhileTheServerClosesIsClosed() throws IOException {
    CompletableFuture<FrameServer> opened = new CompletableFuture<>();
    String address = FreeAddresses.next();
    opened.complete(
        FrameServer.open(
            address,
            () -> {
              opened.join().close();
              return new IgnoringHandler();
            },
            Metrics.create(),
            Thread.ofVirtual().factory(),
            16,
            ConnectionLimits.ofPeers()));
    try (Socket socket = new Socket()) {
      socket.connect(Addresses.toSocketAddress(address));
      socket.setSoTimeout(READ_TIMEOUT_MS);
      assertEquals(socket.getInputStream().read(), END_OF_STREAM);
    }
  }
}
