package io.hingehoist.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.hingehoist.limits.BodyBuffer;
import io.hingehoist.limits.ConnectionLimiter;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class LimitedFramesTest {
  private static final int MAX_HELD_BYTES = 1_000_000;
  private static final long LONG_MS = 1_000_000;

  private ConnectionLimiter limiter;
  private ServerSocket server;

  @BeforeMethod
  public void open() throws IOException {
    limiter = ConnectionLimiter.of(new ConnectionLimits(100, MAX_HELD_BYTES, LONG_MS, LONG_MS));
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterMethod
  public void close() throws IOException {
    server.close();
  }

  private LimitedFrames accept() throws IOException {
    Socket socket = new Socket(server.getInetAddress(), server.getLocalPort());
    FrameHandler handler =
        new FrameHandler() {
          @Override
          public void onMessage(FrameConnection connection, Message message) {}

          @Override
          public void onClosed(FrameConnection connection) {}
        };
    return new LimitedFrames(
        limiter, FrameConnection.start(socket, handler, Metrics.create(), Thread::new, 10));
  }

  /** Frames that gave way stayed in memory until the threads that read them noticed. */
  @Test
  public void aFrameThatGivesWayIsDroppedAtOnce() throws IOException {
    BodyBuffer largest = BodyBuffer.create(2 * MAX_HELD_BYTES);
    BodyBuffer other = BodyBuffer.create(2 * MAX_HELD_BYTES);
    LimitedFrames first = accept();
    first.append(largest, ByteBuffer.allocate(700_000));
    accept().append(other, ByteBuffer.allocate(600_000));
    assertEquals(largest.capacity(), 0);
    assertEquals(other.size(), 600_000);
    assertThrows(IOException.class, () -> first.append(largest, ByteBuffer.allocate(1)));
  }

  @Test
  public void aFrameDoesNotGrowBeforeItsMemoryCounts() throws IOException {
    BodyBuffer frame = BodyBuffer.create(2 * MAX_HELD_BYTES);
    LimitedFrames frames = accept();
    frames.append(frame, ByteBuffer.allocate(600_000));
    assertThrows(IOException.class, () -> frames.append(frame, ByteBuffer.allocate(1)));
    assertEquals(frame.capacity(), 0);
    assertEquals(limiter.heldBytes(), 0);
  }
}
