package io.hingehoist.entry;

import io.hingehoist.limits.ConnectionLimiter;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.limits.ConnectionReports;
import io.hingehoist.metrics.Metrics;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jboss.logging.Logger;

/**
 * The connections of an entry's callers, and the limiter that they share. The state of the
 * connections is guarded by the monitor of the limiter. Thread-safe.
 */
final class CallerConnections implements Connection.Listener {
  private static final Logger LOG = Logger.getLogger(CallerConnections.class);
  private static final long TIMEOUT_CHECK_MS = 1_000;

  private final ConnectionLimiter limiter;
  private final ConnectionReports reports;
  private final Executor executor;
  private final Map<Connection, CallerConnection> open = new ConcurrentHashMap<>();

  private CallerConnections(
      ConnectionLimiter limiter, ConnectionReports reports, Executor executor) {
    this.limiter = limiter;
    this.reports = reports;
    this.executor = executor;
  }

  /** Limits the connections of a server that is not started yet. */
  static CallerConnections limit(Server server, ConnectionLimits limits, Metrics metrics) {
    ConnectionLimiter limiter = ConnectionLimiter.of(limits);
    ConnectionReports reports =
        ConnectionReports.create(
            limiter,
            "caller",
            metrics,
            (event, outcome) -> LOG.infof("event=%s %s", event, outcome));
    CallerConnections connections = new CallerConnections(limiter, reports, server.getThreadPool());
    server.addBeanToAllConnectors(connections);
    return connections;
  }

  /** Checks the time limits of all connections from now on. */
  void start(Scheduler scheduler) {
    scheduler.schedule(
        () -> {
          checkTimeouts();
          start(scheduler);
        },
        TIMEOUT_CHECK_MS,
        TimeUnit.MILLISECONDS);
  }

  private void checkTimeouts() {
    synchronized (limiter) {
      long nowMs = nowMs();
      limiter.checkTimeouts(nowMs);
      reports.writeDue(nowMs);
    }
  }

  /** Returns the time of a monotonic clock, in milliseconds. */
  static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  ConnectionLimiter limiter() {
    return limiter;
  }

  Executor executor() {
    return executor;
  }

  /** Returns the connection of a request; empty if it has closed. */
  Optional<CallerConnection> of(Request request) {
    return Optional.ofNullable(open.get(request.getConnectionMetaData().getConnection()));
  }

  @Override
  public void onOpened(Connection connection) {
    CallerConnection caller = new CallerConnection(this, connection.getEndPoint());
    open.put(connection, caller);
    synchronized (limiter) {
      if (!limiter.add(caller)) {
        caller.closeLater();
      }
    }
  }

  @Override
  public void onClosed(Connection connection) {
    CallerConnection caller = open.remove(connection);
    if (caller != null) {
      synchronized (limiter) {
        limiter.remove(caller);
      }
    }
  }
}
