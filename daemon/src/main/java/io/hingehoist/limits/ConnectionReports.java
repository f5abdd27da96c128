package io.hingehoist.limits;

import io.hingehoist.metrics.Metrics;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;

/**
 * Reports the limits on a group of connections: a metric for each limit and its use, a counter for
 * each reason, and at most one log line for each reason and interval. Guarded by the monitor of the
 * limiter, or confined to the thread that the limiter is confined to.
 */
public final class ConnectionReports {
  private static final long LOG_INTERVAL_MS = 10_000;

  private final ConnectionLimiter limiter;
  private final String group;
  private final Metrics metrics;
  private final BiConsumer<String, String> lines;
  private final Map<CloseReason, Long> unreported = new EnumMap<>(CloseReason.class);
  private long loggedAtMs = -LOG_INTERVAL_MS;
  private volatile int needed;

  private ConnectionReports(
      ConnectionLimiter limiter, String group, Metrics metrics, BiConsumer<String, String> lines) {
    this.limiter = limiter;
    this.group = group;
    this.metrics = metrics;
    this.lines = lines;
  }

  /**
   * Creates the reports on a limiter and registers its gauges.
   *
   * @param group the group of connections, as in the names of metrics: caller or peer
   * @param lines receives the event and the outcome of each log line
   */
  public static ConnectionReports create(
      ConnectionLimiter limiter, String group, Metrics metrics, BiConsumer<String, String> lines) {
    ConnectionReports reports = new ConnectionReports(limiter, group, metrics, lines);
    limiter.onClosed(reports::count);
    ConnectionLimits limits = limiter.limits();
    String prefix = "hingehoist_" + group;
    metrics.addGauge(
        prefix + "_connections", "Open connections.", guarded(limiter, limiter::connections));
    metrics.addGauge(
        prefix + "_connections_limit",
        "Maximum number of open connections.",
        limits::maxConnections);
    metrics.addGauge(
        prefix + "_held_bytes",
        "Memory for what was received and not handled, or not read.",
        guarded(limiter, limiter::heldBytes));
    metrics.addGauge(
        prefix + "_held_bytes_limit",
        "Maximum memory for what was received and not handled, or not read.",
        limits::maxHeldBytes);
    metrics.addGauge(
        prefix + "_connections_needed",
        "Connections that the known processes of the deployment open.",
        () -> reports.needed);
    return reports;
  }

  private static DoubleSupplier guarded(ConnectionLimiter limiter, DoubleSupplier value) {
    return () -> {
      synchronized (limiter) {
        return value.getAsDouble();
      }
    };
  }

  /**
   * Records how many connections the known processes of the deployment open, and writes a line when
   * that number comes to exceed the limit, or no longer does.
   */
  public void recordNeeded(int connections) {
    int limit = limiter.limits().maxConnections();
    boolean exceeds = connections > limit;
    boolean exceeded = needed > limit;
    needed = connections;
    if (exceeds != exceeded) {
      lines.accept(
          exceeds ? "connectionLimitBelowNeed" : "connectionLimitSufficient",
          "group=%s needed=%d maxConnections=%d".formatted(group, connections, limit));
    }
  }

  private void count(CloseReason reason) {
    metrics.countClosedConnection(group, reason.label());
    unreported.merge(reason, 1L, Long::sum);
  }

  /** Writes the lines that are due. */
  public void writeDue(long nowMs) {
    if (unreported.isEmpty() || nowMs - loggedAtMs < LOG_INTERVAL_MS) {
      return;
    }
    loggedAtMs = nowMs;
    unreported.forEach(this::write);
    unreported.clear();
  }

  private void write(CloseReason reason, long count) {
    lines.accept(
        "connectionsClosed",
        "group=%s reason=%s count=%d connections=%d heldBytes=%d"
            .formatted(group, reason.label(), count, limiter.connections(), limiter.heldBytes()));
  }
}
