package io.hingehoist.wire;

import io.hingehoist.message.Hello;
import io.hingehoist.message.KeepAlive;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

/**
 * Keeps a connection to one address open, and replaces it when it breaks or falls silent.
 * Thread-safe.
 *
 * <p>A connection may stop delivering data without an error, and messages from the peer on another
 * connection do not show that this one works. So a keep-alive is requested on a connection on which
 * nothing else is received.
 */
public final class FrameLink implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final long CHECK_INTERVAL_MS = 500;

  /**
   * The time without a received frame after which a keep-alive is requested, which costs one small
   * frame a second.
   */
  private static final long KEEP_ALIVE_AFTER_MS = 1_000;

  /**
   * The time without a received frame after which the connection is closed: two requests for a
   * keep-alive were not answered.
   */
  private static final long SILENCE_TIMEOUT_MS = 2_300;

  private final String address;
  private final String ownAddress;
  private final Hello hello;
  private final FrameHandler handler;
  private final Metrics metrics;
  private final ThreadFactory threads;
  private final int maxQueuedFrames;
  private final AtomicReference<FrameConnection> current = new AtomicReference<>();
  private final Thread connector;
  private final ReconnectDelay reconnectDelay = ReconnectDelay.create(new Random());
  private long openedAtMs;
  private volatile boolean closed;

  private FrameLink(
      String address,
      String ownAddress,
      Hello hello,
      FrameHandler handler,
      Metrics metrics,
      ThreadFactory threads,
      int maxQueuedFrames) {
    this.address = address;
    this.ownAddress = ownAddress;
    this.hello = hello;
    this.handler = handler;
    this.metrics = metrics;
    this.threads = threads;
    this.maxQueuedFrames = maxQueuedFrames;
    this.connector = threads.newThread(this::keepConnected);
  }

  /**
   * Opens a link.
   *
   * @param ownAddress the address with the source IP address of connections
   * @param hello the first message on each connection
   */
  public static FrameLink open(
      String address,
      String ownAddress,
      Hello hello,
      FrameHandler handler,
      Metrics metrics,
      ThreadFactory threads,
      int maxQueuedFrames) {
    FrameLink link =
        new FrameLink(address, ownAddress, hello, handler, metrics, threads, maxQueuedFrames);
    link.connector.start();
    return link;
  }

  /** Returns the address that the link connects to. */
  public String address() {
    return address;
  }

  private void keepConnected() {
    while (!closed) {
      FrameConnection connection = current.get();
      if (connection == null) {
        connect();
      } else if (connection.isOpen()) {
        checkSilence(connection);
        // This thread is unparked when the connection breaks.
        LockSupport.parkNanos(CHECK_INTERVAL_MS * 1_000_000);
      } else {
        current.set(null);
        awaitDelay(reconnectDelay.afterClose(FrameConnection.nowMs() - openedAtMs));
      }
    }
  }

  private void awaitDelay(long delayMs) {
    long endMs = FrameConnection.nowMs() + delayMs;
    for (long leftMs = delayMs; leftMs > 0 && !closed; leftMs = endMs - FrameConnection.nowMs()) {
      LockSupport.parkNanos(leftMs * 1_000_000);
    }
  }

  private static void checkSilence(FrameConnection connection) {
    long silentForMs = FrameConnection.nowMs() - connection.lastReceivedAtMs();
    if (silentForMs >= SILENCE_TIMEOUT_MS) {
      connection.close();
    } else if (silentForMs >= KEEP_ALIVE_AFTER_MS) {
      connection.send(new KeepAlive(true));
    }
  }

  private void connect() {
    try {
      Socket socket = Addresses.connect(address, ownAddress, CONNECT_TIMEOUT_MS);
      FrameConnection connection =
          FrameConnection.start(socket, unparkingHandler(), metrics, threads, maxQueuedFrames);
      connection.send(hello);
      openedAtMs = FrameConnection.nowMs();
      current.set(connection);
      if (closed) {
        connection.close();
      }
    } catch (IOException e) {
      // The peer is not reachable; keepConnected() retries.
      awaitDelay(ReconnectDelay.RETRY_DELAY_MS);
    }
  }

  private FrameHandler unparkingHandler() {
    return new FrameHandler() {
      @Override
      public void onMessage(FrameConnection connection, Message message) {
        handler.onMessage(connection, message);
      }

      @Override
      public void onClosed(FrameConnection connection) {
        handler.onClosed(connection);
        LockSupport.unpark(connector);
      }
    };
  }

  /** Returns the open connection, if there is one. */
  public Optional<FrameConnection> connection() {
    return Optional.ofNullable(current.get()).filter(FrameConnection::isOpen);
  }

  /** Closes a silent connection, so that a new one is opened. */
  public void reset() {
    FrameConnection connection = current.get();
    if (connection != null) {
      connection.close();
    }
  }

  /** Queues a message if a connection is open; returns false if the message is dropped. */
  public boolean send(Message message) {
    FrameConnection connection = current.get();
    return connection != null && connection.send(message);
  }

  /** Closes the connection and opens no further ones. */
  @Override
  public void close() {
    closed = true;
    FrameConnection connection = current.get();
    if (connection != null) {
      connection.close();
    }
    LockSupport.unpark(connector);
  }
}
