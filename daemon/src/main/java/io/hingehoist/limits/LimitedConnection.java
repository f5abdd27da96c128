package io.hingehoist.limits;

/**
 * A connection whose resources a {@link ConnectionLimiter} limits. Not thread-safe: confined to the
 * thread of the limiter, or guarded by its monitor. Its methods are called with that monitor held
 * and must not wait.
 */
public interface LimitedConnection {
  /** What a connection is doing, in the order in which connections give way. */
  enum Stage {
    /** No request is complete: the connection is idle, or a request is being received. */
    RECEIVING,
    /** A response is not read by the caller. */
    UNREAD,
    /** A request is in progress; others, or a part of one, may wait behind it. */
    WAITING
  }

  /** Returns what the connection is doing. */
  Stage stage();

  /** Returns the memory that requests and unsent responses of this connection take, in bytes. */
  long heldBytes();

  /** Returns the part of {@link #heldBytes} that {@link #giveWay} releases. */
  long releasableBytes();

  /**
   * Releases what the connection holds, except for a request in progress, and ends the connection
   * after its caller was told, if that is possible.
   */
  void giveWay();

  /** Closes the connection at once. */
  void close(CloseReason reason);

  /** Ends the connection if it has exceeded a time limit. */
  void checkTimeouts(long nowMs);
}
