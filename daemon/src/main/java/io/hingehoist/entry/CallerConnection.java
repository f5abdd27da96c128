package io.hingehoist.entry;

import io.hingehoist.limits.BodyBuffer;
import io.hingehoist.limits.CloseReason;
import io.hingehoist.limits.ConnectionLimiter;
import io.hingehoist.limits.LimitedConnection;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.io.EndPoint;

/** A connection of a caller to an entry. Guarded by the monitor of the limiter. */
final class CallerConnection implements LimitedConnection {
  /** The time for which a refused caller may still send. */
  private static final long DISCARD_TIMEOUT_MS = 5_000;

  private final CallerConnections connections;
  private final ConnectionLimiter limiter;
  private final EndPoint endPoint;
  private Optional<BodyReader> reader = Optional.empty();
  private long receivedBytes;
  private long runningBytes;
  private long unsentBytes;
  private long heldBytes;
  private long refusedAtMs;
  private boolean refused;

  CallerConnection(CallerConnections connections, EndPoint endPoint) {
    this.connections = connections;
    this.limiter = connections.limiter();
    this.endPoint = endPoint;
  }

  /** Records that a request is being received, and how much of it is held. */
  void setReceiving(BodyReader newReader, long bytes) {
    synchronized (limiter) {
      if (!refused) {
        reader = Optional.of(newReader);
        receivedBytes = bytes;
        updateHeld();
      }
    }
  }

  /**
   * Appends what has arrived to the body of the request that is being received, unless the request
   * is refused. The memory counts before it is taken, and only one body grows at a time.
   *
   * @param headBytes the memory for the head of the request
   */
  void receive(BodyReader newReader, BodyBuffer body, ByteBuffer content, long headBytes) {
    synchronized (limiter) {
      setReceiving(newReader, headBytes + body.capacityFor(content.remaining()));
      if (!refused) {
        body.append(content);
      }
    }
  }

  /**
   * Records that a request is complete, unless it does not fit beside those in progress.
   *
   * @return whether the request may be handled
   */
  boolean startRunning(long bytes) {
    synchronized (limiter) {
      if (refused) {
        return false;
      }
      limiter.recordRequest(this);
      reader = Optional.empty();
      receivedBytes = 0;
      runningBytes = bytes;
      updateHeld();
      boolean fits =
          limiter.heldBytes() <= limiter.limits().maxHeldBytes()
              || limiter.heldBytes() == heldBytes;
      if (!fits) {
        runningBytes = 0;
        refuse(CloseReason.HELD_BYTES);
        updateHeld();
      }
      return fits;
    }
  }

  /** Records that the request in progress holds less than before. */
  void setRunning(long bytes) {
    synchronized (limiter) {
      if (runningBytes > 0) {
        runningBytes = bytes;
        updateHeld();
      }
    }
  }

  /** Records that a response is being sent. */
  void startSending(long bytes) {
    synchronized (limiter) {
      runningBytes = 0;
      unsentBytes = bytes;
      updateHeld();
    }
  }

  /** Records that no request is in progress any more. */
  void becomeIdle() {
    synchronized (limiter) {
      reader = Optional.empty();
      receivedBytes = 0;
      runningBytes = 0;
      unsentBytes = 0;
      updateHeld();
      limiter.recordIdle(this);
    }
  }

  /** Records that the request that is being received is refused. */
  void refuse(CloseReason reason) {
    synchronized (limiter) {
      if (!refused) {
        refused = true;
        refusedAtMs = CallerConnections.nowMs();
        dropReceived();
        updateHeld();
        limiter.recordRefusal(this, reason);
      }
    }
  }

  private void dropReceived() {
    reader.ifPresent(BodyReader::dropBody);
    receivedBytes = 0;
  }

  /** Returns whether a request was refused; the connection accepts no other. */
  boolean isRefused() {
    synchronized (limiter) {
      return refused;
    }
  }

  private void updateHeld() {
    long now = receivedBytes + runningBytes + unsentBytes;
    limiter.recordHeld(this, now - heldBytes);
    heldBytes = now;
    limiter.enforceHeldBytes();
  }

  @Override
  public Stage stage() {
    if (runningBytes > 0) {
      return Stage.WAITING;
    }
    return unsentBytes > 0 ? Stage.UNREAD : Stage.RECEIVING;
  }

  @Override
  public long heldBytes() {
    return heldBytes;
  }

  @Override
  public long releasableBytes() {
    return heldBytes - runningBytes;
  }

  @Override
  public void giveWay() {
    if (unsentBytes > 0 || reader.isEmpty()) {
      close(CloseReason.HELD_BYTES);
    } else {
      refuse(CloseReason.HELD_BYTES);
      BodyReader refusedReader = reader.get();
      connections.executor().execute(refusedReader::refuseTooMuchHeld);
    }
  }

  @Override
  public void close(CloseReason reason) {
    limiter.recordClose(reason);
    dropReceived();
    unsentBytes = 0;
    limiter.recordHeld(this, runningBytes - heldBytes);
    heldBytes = runningBytes;
    closeLater();
  }

  /** Closes the connection on another thread. */
  void closeLater() {
    connections.executor().execute(endPoint::close);
  }

  @Override
  public void checkTimeouts(long nowMs) {
    if (refused && nowMs - refusedAtMs > DISCARD_TIMEOUT_MS) {
      closeLater();
    }
  }
}
