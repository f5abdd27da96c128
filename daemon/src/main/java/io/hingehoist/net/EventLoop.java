package io.hingehoist.net;

import io.hingehoist.limits.ConnectionLimiter;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.limits.ConnectionReports;
import io.hingehoist.limits.ProcessLimits;
import io.hingehoist.metrics.Metrics;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A single thread that handles the connections of a process and runs submitted tasks in order.
 * Thread-safe.
 */
public final class EventLoop implements AutoCloseable {
  /** The interval at which connections are checked against their time limits, and reported. */
  private static final long CONNECTION_CHECK_MS = 1_000;

  private final EventLoopGroup group;
  private final io.netty.channel.EventLoop loop;
  private final Consumer<Throwable> onFatalError;
  private final ConnectionLimiter connections;
  private final ConnectionLimiter responses;
  private final ConnectionLimits peers;
  private final List<ConnectionReports> reports = new ArrayList<>();
  private final ReadTurns readTurns = ReadTurns.create(this);
  private volatile BiConsumer<String, String> connectionLines = (event, outcome) -> {};

  private EventLoop(
      Consumer<Throwable> onFatalError,
      ConnectionLimits callers,
      ConnectionLimits responses,
      ConnectionLimits peers) {
    this.group =
        new MultiThreadIoEventLoopGroup(
            1,
            (java.util.concurrent.ThreadFactory) task -> new Thread(task, "loop"),
            NioIoHandler.newFactory());
    this.loop = group.next();
    this.onFatalError = onFatalError;
    this.connections = ConnectionLimiter.of(callers);
    this.responses = ConnectionLimiter.of(responses);
    this.peers = peers;
    scheduleRepeating(this::checkConnections, CONNECTION_CHECK_MS);
  }

  /**
   * Starts a loop with the default limits of this process.
   *
   * @param onFatalError called with an error of a task after which the process must stop
   */
  public static EventLoop start(Consumer<Throwable> onFatalError) {
    return start(onFatalError, ConnectionLimits.ofCallers());
  }

  /**
   * Starts a loop.
   *
   * @param onFatalError called with an error of a task after which the process must stop
   * @param limits the limits on the connections of callers of all servers on this loop
   */
  public static EventLoop start(Consumer<Throwable> onFatalError, ConnectionLimits limits) {
    return start(onFatalError, limits, ConnectionLimits.ofResponses());
  }

  /** Starts a loop with limits on the connections of callers and on the responses of workers. */
  static EventLoop start(
      Consumer<Throwable> onFatalError, ConnectionLimits callers, ConnectionLimits responses) {
    return new EventLoop(onFatalError, callers, responses, ConnectionLimits.ofPeers());
  }

  /** Starts a loop with the limits of a process. */
  public static EventLoop start(Consumer<Throwable> onFatalError, ProcessLimits limits) {
    return new EventLoop(
        onFatalError, limits.callers(), ConnectionLimits.ofResponses(), limits.peers());
  }

  private void checkConnections() {
    long nowMs = nowMs();
    connections.checkTimeouts(nowMs);
    reports.forEach(report -> report.writeDue(nowMs));
  }

  /**
   * Sets where log lines about limits on connections are written.
   *
   * @param lines receives the event and the outcome of each line
   */
  public void logConnections(BiConsumer<String, String> lines) {
    connectionLines = lines;
  }

  /** Reports the limits on the connections of callers and of workers. */
  public void reportConnections(Metrics metrics) {
    report(connections, "caller", metrics);
    report(responses, "worker", metrics);
  }

  /** Reports the limits on a group of connections, and what is closed because of them. */
  ConnectionReports report(ConnectionLimiter limiter, String group, Metrics metrics) {
    ConnectionReports created =
        ConnectionReports.create(
            limiter, group, metrics, (event, outcome) -> connectionLines.accept(event, outcome));
    execute(() -> reports.add(created));
    return created;
  }

  /** Returns the turns of connections whose reads take long to decode. */
  ReadTurns readTurns() {
    return readTurns;
  }

  /** Returns the limiter of the connections on which workers respond. */
  ConnectionLimiter responses() {
    return responses;
  }

  /** Returns the limits on the connections that other processes open to one server. */
  ConnectionLimits peers() {
    return peers;
  }

  /** Returns the limiter of the connections of callers. */
  ConnectionLimiter connections() {
    return connections;
  }

  /** Returns the time of a monotonic clock, in milliseconds. */
  public static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Runs a task on the loop, after the tasks that were submitted before. */
  public void execute(Runnable task) {
    loop.execute(reportingErrors(task));
  }

  /**
   * Runs a task on the loop after a delay.
   *
   * @return an action that cancels the task; to be run on the loop
   */
  public Runnable schedule(Runnable task, long delayMs) {
    Future<?> scheduled = loop.schedule(reportingErrors(task), delayMs, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  /** Runs a task on the loop repeatedly, with a fixed delay between two runs. */
  public void scheduleRepeating(Runnable task, long delayMs) {
    loop.scheduleWithFixedDelay(reportingErrors(task), delayMs, delayMs, TimeUnit.MILLISECONDS);
  }

  private Runnable reportingErrors(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        onFatalError.accept(e);
      }
    };
  }

  /** Reports an error that a handler on this loop can't recover from; the process must stop. */
  void reportFatal(Throwable error) {
    onFatalError.accept(error);
  }

  /** Returns Netty's group that contains only this loop. */
  EventLoopGroup group() {
    return group;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
