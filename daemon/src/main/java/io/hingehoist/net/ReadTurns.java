package io.hingehoist.net;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Lets one connection after the other read again whose last read took long to decode, so that they
 * do not delay all others. Not thread-safe: confined to the event loop.
 */
final class ReadTurns {
  private static final long INTERVAL_MS = 10;

  private final EventLoop loop;
  private final Queue<Runnable> waiting = new ArrayDeque<>();

  private ReadTurns(EventLoop loop) {
    this.loop = loop;
  }

  static ReadTurns create(EventLoop loop) {
    return new ReadTurns(loop);
  }

  /** Runs an action after those that wait already, one in each interval. */
  void await(Runnable action) {
    waiting.add(action);
    if (waiting.size() == 1) {
      scheduleNext();
    }
  }

  private void scheduleNext() {
    loop.schedule(this::runNext, INTERVAL_MS);
  }

  private void runNext() {
    waiting.remove().run();
    if (!waiting.isEmpty()) {
      scheduleNext();
    }
  }
}
