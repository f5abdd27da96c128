package io.hingehoist.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A single thread that handles the connections of a process and runs submitted tasks in order.
 * Thread-safe.
 */
public final class EventLoop implements AutoCloseable {
  private final EventLoopGroup group;
  private final io.netty.channel.EventLoop loop;
  private final Consumer<Throwable> onFatalError;

  private EventLoop(Consumer<Throwable> onFatalError) {
    this.group =
        new MultiThreadIoEventLoopGroup(
            1,
            (java.util.concurrent.ThreadFactory) task -> new Thread(task, "loop"),
            NioIoHandler.newFactory());
    this.loop = group.next();
    this.onFatalError = onFatalError;
  }

  /**
   * Starts a loop.
   *
   * @param onFatalError called with an error of a task after which the process must stop
   */
  public static EventLoop start(Consumer<Throwable> onFatalError) {
    return new EventLoop(onFatalError);
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
