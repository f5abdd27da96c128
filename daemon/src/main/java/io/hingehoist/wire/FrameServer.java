package io.hingehoist.wire;

import io.hingehoist.limits.ConnectionLimiter;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.limits.ConnectionReports;
import io.hingehoist.metrics.Metrics;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadFactory;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/** Accepts connections on one address. Thread-safe. */
public final class FrameServer implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(FrameServer.class);
  private static final int BACKLOG = 1_024;

  private final ServerSocket listener;
  private final Supplier<FrameHandler> handlers;
  private final Metrics metrics;
  private final ThreadFactory threads;
  private final int maxQueuedFrames;
  private final ConnectionLimiter limiter;
  private final ConnectionReports reports;
  private final Set<FrameConnection> connections = ConcurrentHashMap.newKeySet();

  private FrameServer(
      ServerSocket listener,
      Supplier<FrameHandler> handlers,
      Metrics metrics,
      ThreadFactory threads,
      int maxQueuedFrames,
      ConnectionLimits limits) {
    this.listener = listener;
    this.handlers = handlers;
    this.metrics = metrics;
    this.threads = threads;
    this.maxQueuedFrames = maxQueuedFrames;
    this.limiter = ConnectionLimiter.of(limits);
    this.reports =
        ConnectionReports.create(
            limiter, "peer", metrics, (event, outcome) -> LOG.infof("event=%s %s", event, outcome));
  }

  /**
   * Opens a server.
   *
   * @param handlers supplies a handler for each new connection
   * @param limits the limits on all connections
   */
  public static FrameServer open(
      String address,
      Supplier<FrameHandler> handlers,
      Metrics metrics,
      ThreadFactory threads,
      int maxQueuedFrames,
      ConnectionLimits limits)
      throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(Addresses.toSocketAddress(address), BACKLOG);
    FrameServer server =
        new FrameServer(listener, handlers, metrics, threads, maxQueuedFrames, limits);
    threads.newThread(server::acceptConnections).start();
    return server;
  }

  private void acceptConnections() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        connections.removeIf(connection -> !connection.isOpen());
        addConnection(
            FrameConnection.start(
                socket,
                handlers.get(),
                metrics,
                threads,
                maxQueuedFrames,
                connection -> new LimitedFrames(limiter, connection)));
        writeReports();
      } catch (IOException e) {
        // The listener was closed, or a connection broke before it was set up.
      }
    }
  }

  private void writeReports() {
    synchronized (limiter) {
      reports.writeDue(FrameConnection.nowMs());
    }
  }

  /** Records how many connections the known processes of the deployment open to this server. */
  public void recordNeeded(int connections) {
    synchronized (limiter) {
      reports.recordNeeded(connections);
    }
  }

  private void addConnection(FrameConnection connection) {
    connections.add(connection);
    // A connection accepted while the server closes would stay open, without a process behind it.
    if (listener.isClosed()) {
      connection.close();
    }
  }

  /** Stops accepting connections and closes the open ones. */
  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      // There is nothing left to do for a socket that can't be closed.
    }
    connections.forEach(FrameConnection::close);
  }
}
