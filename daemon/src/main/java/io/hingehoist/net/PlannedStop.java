package io.hingehoist.net;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A planned stop of a process: begun once, over when its node says so or when its time is up.
 * {@link #await} is called from another thread than the rest.
 */
public final class PlannedStop {
  /** What is left of the time when the process ends in any case. */
  private static final long MARGIN_MS = 300;

  private final long timeoutMs;
  private final CountDownLatch settled = new CountDownLatch(1);
  private long beganAtMs;
  private boolean begun;

  private PlannedStop(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  /** Returns a stop that has not begun. */
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

  /** Returns the time that is left; it may be below zero. */
  public long leftMs(long nowMs) {
    return beganAtMs + timeoutMs - MARGIN_MS - nowMs;
  }

  /** Notes that nothing is left to wait for. */
  public void settle() {
    settled.countDown();
  }

  /** Waits for the end of the stop; returns whether it was settled in time. */
  public boolean await() {
    try {
      return settled.await(Math.max(0, timeoutMs - MARGIN_MS), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
