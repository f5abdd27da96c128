package io.hingehoist.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One thread that carries the connections of a process and runs what it is given, in order. */
public final class EventLoop implements AutoCloseable {
  private final EventLoopGroup group;
  private final io.netty.channel.EventLoop loop;
  private final Consumer<Throwable> fatal;

  private EventLoop(Consumer<Throwable> fatal) {
    this.group =
        new MultiThreadIoEventLoopGroup(
            1,
            (java.util.concurrent.ThreadFactory) task -> new Thread(task, "loop"),
            NioIoHandler.newFactory());
    this.loop = group.next();
    this.fatal = fatal;
  }

  /**
   * Starts a loop.
   *
   * @param fatal gets an error of a task after which the process must not go on
   */
  public static EventLoop start(Consumer<Throwable> fatal) {
    return new EventLoop(fatal);
  }

  /** Returns a steady clock in milliseconds. */
  public static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Runs a task on the loop, after what it does now. */
  public void execute(Runnable task) {
    loop.execute(guarded(task));
  }

  /** Runs a task on the loop after a time. Returns how to call it off; called on the loop. */
  public Runnable schedule(Runnable task, long delayMs) {
    Future<?> scheduled = loop.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  /** Runs a task on the loop again and again. */
  public void scheduleRepeating(Runnable task, long periodMs) {
    loop.scheduleWithFixedDelay(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  private Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        fatal.accept(e);
      }
    };
  }

  /** Stops the process on an error that a handler of this loop could not deal with. */
  void fail(Throwable error) {
    fatal.accept(error);
  }

  EventLoopGroup group() {
    return group;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
