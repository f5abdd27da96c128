package io.hingehoist.wire;

import io.hingehoist.message.Hello;
import io.hingehoist.message.KeepAlive;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

/**
 * Keeps a connection to one address open, and opens it anew when it breaks or falls silent.
 * Thread-safe.
 *
 * <p>An open connection may carry nothing any more without a word, and what is heard of the peer on
 * another one says nothing of this one. So it asks for a word where nothing else is heard.
 */
public final class FrameLink implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final long RETRY_PAUSE_MS = 100;
  private static final long CHECK_PAUSE_MS = 500;

  /** The time without a frame after which the peer is asked for one: one small frame a second. */
  private static final long ASK_AFTER_MS = 1_000;

  /** The same after which the connection is given up: two questions had no answer. */
  private static final long SILENT_AFTER_MS = 2_300;

  private final String address;
  private final String ownAddress;
  private final Hello hello;
  private final FrameHandler handler;
  private final Metrics metrics;
  private final ThreadFactory threads;
  private final int maxQueuedFrames;
  private final AtomicReference<FrameConnection> current = new AtomicReference<>();
  private final Thread connector;
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
   * @param ownAddress the address whose IP number the connections come from
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

  /** Returns the address that the link leads to. */
  public String address() {
    return address;
  }

  private void keepConnected() {
    while (!closed) {
      FrameConnection connection = current.get();
      boolean open = connection != null && connection.isOpen();
      if (open) {
        check(connection);
      } else {
        connect();
      }
      // A connection that breaks wakes this thread.
      LockSupport.parkNanos((open ? CHECK_PAUSE_MS : RETRY_PAUSE_MS) * 1_000_000);
    }
  }

  private static void check(FrameConnection connection) {
    long unheardMs = FrameConnection.nowMs() - connection.heardAtMs();
    if (unheardMs >= SILENT_AFTER_MS) {
      connection.close();
    } else if (unheardMs >= ASK_AFTER_MS) {
      connection.send(new KeepAlive(true));
    }
  }

  private void connect() {
    try {
      Socket socket = Addresses.connect(address, ownAddress, CONNECT_TIMEOUT_MS);
      FrameConnection connection =
          FrameConnection.start(socket, wakingHandler(), metrics, threads, maxQueuedFrames);
      connection.send(hello);
      current.set(connection);
      if (closed) {
        connection.close();
      }
    } catch (IOException e) {
      // The peer is away; the next round tries again.
    }
  }

  private FrameHandler wakingHandler() {
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

  /** Gives the connection up, so that a new one is opened: nothing is heard from the peer. */
  public void reset() {
    FrameConnection connection = current.get();
    if (connection != null) {
      connection.close();
    }
  }

  /** Sends a message; returns whether it may arrive. */
  public boolean send(Message message) {
    FrameConnection connection = current.get();
    return connection != null && connection.send(message);
  }

  /** Closes the connection for good. */
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
