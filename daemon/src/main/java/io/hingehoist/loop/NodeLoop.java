package io.hingehoist.loop;

import io.hingehoist.net.EventLoop;
import io.hingehoist.net.PlannedStop;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The part of a node that rides on the event loop: it ticks, and carries out what was decided once
 * for all events of one round of the loop. Called on the event loop, but for {@link #start} and
 * {@link #stop}.
 */
public final class NodeLoop {
  private static final long TICK_MS = 50;

  /** What a node does on its loop. */
  public interface Node {
    /** Does what the time has made due. */
    void onTick(long nowMs);

    /** Carries out what was decided since the last call. */
    void settle(long nowMs);
  }

  private final EventLoop loop;
  private final PlannedStop stop;
  private final Node node;
  private boolean settling;

  private NodeLoop(EventLoop loop, PlannedStop stop, Node node) {
    this.loop = loop;
    this.stop = stop;
    this.node = node;
  }

  /**
   * Creates a loop that does not tick yet.
   *
   * @param stop the planned stop of the process
   */
  public static NodeLoop create(EventLoop loop, PlannedStop stop, Node node) {
    return new NodeLoop(loop, stop, node);
  }

  /** Starts to tick, after a first task. */
  public void start(Runnable first) {
    loop.execute(first);
    loop.scheduleRepeating(this::tick, TICK_MS);
  }

  private void tick() {
    long nowMs = EventLoop.nowMs();
    node.onTick(nowMs);
    settle();
  }

  /** Settles after the events of this round. */
  public void settleLater() {
    if (!settling) {
      settling = true;
      loop.execute(this::settle);
    }
  }

  private void settle() {
    settling = false;
    node.settle(EventLoop.nowMs());
  }

  /** Returns a handler that settles after another. */
  public <A> Consumer<A> settling(Consumer<A> handler) {
    return answer -> {
      handler.accept(answer);
      settleLater();
    };
  }

  /** Runs a task on the loop. */
  public void execute(Runnable task) {
    loop.execute(task);
  }

  /**
   * Stops as planned: begins the stop on the loop and waits until the node has settled it, or its
   * time is up. Called from another thread.
   *
   * @param atBegin does what the node does first, given the time
   * @return whether it was settled in time
   */
  public boolean stop(LongConsumer atBegin) {
    loop.execute(
        () -> {
          long nowMs = EventLoop.nowMs();
          stop.begin(nowMs);
          atBegin.accept(nowMs);
          settleLater();
        });
    return stop.await();
  }
}
