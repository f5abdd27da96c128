package io.hingehoist.wire;

import io.hingehoist.limits.BodyBuffer;
import io.hingehoist.limits.CloseReason;
import io.hingehoist.limits.ConnectionLimiter;
import io.hingehoist.limits.LimitedConnection;
import io.hingehoist.message.Hello;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The account of a connection that another process has opened. Guarded by the monitor of its
 * limiter.
 */
final class LimitedFrames implements FrameMemory, LimitedConnection {
  private final ConnectionLimiter limiter;
  private final FrameConnection connection;
  private Optional<BodyBuffer> unfinished = Optional.empty();
  private long heldBytes;

  LimitedFrames(ConnectionLimiter limiter, FrameConnection connection) {
    this.limiter = limiter;
    this.connection = connection;
    synchronized (limiter) {
      if (!limiter.add(this)) {
        connection.close();
      }
    }
  }

  @Override
  public void append(BodyBuffer frame, ByteBuffer piece) throws IOException {
    synchronized (limiter) {
      unfinished = Optional.of(frame);
      long bytes = frame.capacityFor(piece.remaining());
      limiter.recordHeld(this, bytes - heldBytes);
      heldBytes = bytes;
      limiter.enforceHeldBytes();
      if (!connection.isOpen()) {
        throw new IOException("the connection was closed within a frame");
      }
      frame.append(piece);
    }
  }

  @Override
  public void frameEnded() {
    synchronized (limiter) {
      unfinished = Optional.empty();
      limiter.recordHeld(this, -heldBytes);
      heldBytes = 0;
      limiter.recordRequest(this);
    }
  }

  @Override
  public void memberKnown(Hello hello) {
    synchronized (limiter) {
      limiter.recordMember(this, hello.role() + " " + hello.nodeId());
    }
  }

  @Override
  public void connectionClosed() {
    synchronized (limiter) {
      limiter.remove(this);
    }
  }

  @Override
  public Stage stage() {
    return Stage.RECEIVING;
  }

  @Override
  public long heldBytes() {
    return heldBytes;
  }

  @Override
  public long releasableBytes() {
    return heldBytes;
  }

  @Override
  public void giveWay() {
    close(CloseReason.HELD_BYTES);
  }

  @Override
  public void close(CloseReason reason) {
    limiter.recordClose(reason);
    limiter.remove(this);
    unfinished.ifPresent(BodyBuffer::clear);
    connection.close();
  }

  /** There is no time limit; the user of the connection detects its silence. */
  @Override
  public void checkTimeouts(long nowMs) {}
}
