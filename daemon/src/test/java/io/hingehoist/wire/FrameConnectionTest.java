package io.hingehoist.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.message.CreditGrant;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class FrameConnectionTest {
  private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
  private CountDownLatch closed;
  private Metrics metrics;
  private FrameServer server;
  private String address;

  @BeforeMethod
  public void openServer() throws IOException {
    received.clear();
    closed = new CountDownLatch(1);
    metrics = Metrics.create();
    address = FreeAddresses.next();
    server =
        FrameServer.open(
            address,
            this::handler,
            metrics,
            Thread.ofVirtual().factory(),
            16,
            ConnectionLimits.ofPeers());
  }

  @AfterMethod
  public void closeServer() {
    server.close();
  }

  private FrameHandler handler() {
    return new FrameHandler() {
      @Override
      public void onMessage(FrameConnection connection, Message message) {
        received.add(message);
      }

      @Override
      public void onClosed(FrameConnection connection) {
        closed.countDown();
      }
    };
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.connect(Addresses.toSocketAddress(address));
    return socket;
  }

  private static void writeFrame(Socket socket, byte[] body) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(body.length);
    out.write(body);
    out.flush();
  }

  private double badFrames() {
    return metrics.registry().scrape().stream()
        .filter(m -> m.getMetadata().getName().equals("hingehoist_bad_frames"))
        .mapToDouble(m -> ((CounterSnapshot) m).getDataPoints().getFirst().getValue())
        .sum();
  }

  private void awaitClosed() throws InterruptedException {
    assertTrue(closed.await(10, TimeUnit.SECONDS));
  }

  @Test
  public void receivesAMessage() throws Exception {
    try (Socket socket = connect()) {
      writeFrame(socket, new CreditGrant(3).toBytes().toArray());
      assertEquals(received.poll(10, TimeUnit.SECONDS), new CreditGrant(3));
    }
  }

  @Test
  public void anInvalidFrameIsCountedAndClosesOnlyItsConnection() throws Exception {
    try (Socket socket = connect()) {
      writeFrame(socket, new byte[] {(byte) 0xc1, 1, 2, 3});
      awaitClosed();
      assertEquals(badFrames(), 1.0);
    }
    receivesAMessage();
  }

  @Test
  public void anOversizedFrameClosesTheConnectionBeforeItsBodyIsRead() throws Exception {
    try (Socket socket = connect()) {
      new DataOutputStream(socket.getOutputStream()).writeInt(FrameConnection.MAX_FRAME_BYTES + 1);
      awaitClosed();
      assertEquals(badFrames(), 1.0);
    }
  }

  @Test
  public void randomBytesAreRefusedOrDecodeToAnEncodableMessage() {
    Random random = new Random(1);
    int refused = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] body = new byte[random.nextInt(40)];
      random.nextBytes(body);
      try {
        Message message = Message.fromBytes(io.hingehoist.message.Bytes.copyOf(body));
        assertEquals(Message.fromBytes(message.toBytes()), message);
      } catch (IOException e) {
        refused++;
      }
    }
    assertTrue(refused > 19_000, "refused: " + refused);
  }

  @Test
  public void aPeerThatDoesNotReadIsDisconnected() throws Exception {
    Socket unread = connect();
    CountDownLatch disconnected = new CountDownLatch(1);
    FrameHandler handler =
        new FrameHandler() {
          @Override
          public void onMessage(FrameConnection connection, Message message) {}

          @Override
          public void onClosed(FrameConnection connection) {
            disconnected.countDown();
          }
        };
    FrameConnection connection =
        FrameConnection.start(unread, handler, metrics, Thread.ofVirtual().factory(), 1);
    boolean open = true;
    for (int i = 0; i < 10_000_000 && open; i++) {
      open = connection.send(new CreditGrant(i));
    }
    assertFalse(open);
    assertTrue(disconnected.await(10, TimeUnit.SECONDS));
  }
}
