package io.hingehoist.net;

/**
 * Tells a connection that has fallen silent from a process that stood still itself: what came in
 * the meantime is read only after the tick that comes late, so that nothing is concluded from it.
 * Owned by the event loop.
 */
public final class SilenceDetector {
  /** Ticks come every 50 ms; one that is so late says that this process did not run. */
  private static final long LATE_TICK_MS = 150;

  private long tickedAtMs;
  private boolean late;

  private SilenceDetector(long nowMs) {
    this.tickedAtMs = nowMs;
  }

  /** Creates a watch that begins now. */
  public static SilenceDetector create(long nowMs) {
    return new SilenceDetector(nowMs);
  }

  /** Notes the time. Called at short intervals. */
  public void onTick(long nowMs) {
    late = nowMs - tickedAtMs >= LATE_TICK_MS;
    tickedAtMs = nowMs;
  }

  /** Returns whether nothing was heard for a time, and what came meanwhile has been read. */
  public boolean isSilent(long heardAtMs, long limitMs) {
    return !late && tickedAtMs - heardAtMs >= limitMs;
  }
}
