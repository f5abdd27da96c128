package io.hingehoist.loop;

import io.hingehoist.net.EventLoop;
import io.hingehoist.net.PlannedStop;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Runs a node on the event loop: calls it at regular ticks, and flushes the effects of its
 * decisions once for all events of one iteration of the loop. Not thread-safe: confined to the
 * event loop, except for {@link #start} and {@link #stop}.
 */
public final class NodeLoop {
  private static final long TICK_MS = 50;

  /** The work of a node. Called on the event loop. */
  public interface Node {
    /** Performs the work that has become due. */
    void onTick(long nowMs);

    /** Carries out the effects of all decisions since the last call. */
    void flush(long nowMs);
  }

  private final EventLoop loop;
  private final PlannedStop stop;
  private final Node node;
  private boolean flushScheduled;

  private NodeLoop(EventLoop loop, PlannedStop stop, Node node) {
    this.loop = loop;
    this.stop = stop;
    this.node = node;
  }

  /**
   * Creates a loop that ticks once {@link #start} is called.
   *
   * @param stop the planned stop of the process
   */
  public static NodeLoop create(EventLoop loop, PlannedStop stop, Node node) {
    return new NodeLoop(loop, stop, node);
  }

  /** Starts the ticks after a first task. */
  public void start(Runnable firstTask) {
    loop.execute(firstTask);
    loop.scheduleRepeating(this::tick, TICK_MS);
  }

  private void tick() {
    long nowMs = EventLoop.nowMs();
    node.onTick(nowMs);
    flush();
  }

  /** Schedules a flush after the events that are already queued, unless one is scheduled. */
  public void flushLater() {
    if (!flushScheduled) {
      flushScheduled = true;
      loop.execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    node.flush(EventLoop.nowMs());
  }

  /** Returns a handler that calls another one and schedules a flush. */
  public <A> Consumer<A> andFlush(Consumer<A> handler) {
    return event -> {
      handler.accept(event);
      flushLater();
    };
  }

  /** Runs a task on the loop. */
  public void execute(Runnable task) {
    loop.execute(task);
  }

  /**
   * Performs the planned stop: begins it on the loop, and waits until the node has completed it or
   * its timeout has passed. Called from another thread than the event loop.
   *
   * @param onBegin the node's first step of the stop, called with the time
   * @return whether the stop was completed in time
   */
  public boolean stop(LongConsumer onBegin) {
    loop.execute(
        () -> {
          long nowMs = EventLoop.nowMs();
          stop.begin(nowMs);
          onBegin.accept(nowMs);
          flushLater();
        });
    return stop.await();
  }
}
