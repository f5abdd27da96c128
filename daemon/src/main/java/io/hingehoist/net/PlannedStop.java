package io.hingehoist.net;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A planned stop of a process. It begins once and ends when the node completes it or at a timeout.
 * Not thread-safe: confined to the event loop, except for {@link #await}.
 */
public final class PlannedStop {
  /** The part of the timeout that is reserved for the end of the process. */
  private static final long MARGIN_MS = 300;

  private final long timeoutMs;
  private final CountDownLatch completed = new CountDownLatch(1);
  private long beganAtMs;
  private boolean begun;

  private PlannedStop(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  /** Creates a stop that has not begun. */
  public static PlannedStop of(double timeoutSeconds) {
    return new PlannedStop((long) (timeoutSeconds * 1_000));
  }

  /** Begins the stop. */
  public void begin(long nowMs) {
    begun = true;
    beganAtMs = nowMs;
  }

  /** Returns whether the stop has begun. */
  public boolean hasBegun() {
    return begun;
  }

  /** Returns the time since the stop began. */
  public long elapsedMs(long nowMs) {
    return nowMs - beganAtMs;
  }

  /** Returns the remaining time, which may be negative. */
  public long remainingMs(long nowMs) {
    return beganAtMs + timeoutMs - MARGIN_MS - nowMs;
  }

  /** Completes the stop: there is nothing left to wait for. */
  public void complete() {
    completed.countDown();
  }

  /** Waits for the end of the stop; returns whether it was completed in time. */
  public boolean await() {
    try {
      return completed.await(Math.max(0, timeoutMs - MARGIN_MS), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
