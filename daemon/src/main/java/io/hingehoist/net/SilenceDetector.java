package io.hingehoist.net;

/**
 * Distinguishes a silent connection from a pause of this process. Messages received during a pause
 * are read only after the late tick that follows it, so a late tick never reports silence. Not
 * thread-safe: confined to the event loop.
 */
public final class SilenceDetector {
  /** Ticks occur every 50 ms; such a long time between two of them indicates a pause. */
  private static final long MIN_PAUSE_MS = 150;

  private long lastTickAtMs;
  private boolean tickIsLate;

  private SilenceDetector(long nowMs) {
    this.lastTickAtMs = nowMs;
  }

  /** Creates a detector that starts at a time. */
  public static SilenceDetector create(long nowMs) {
    return new SilenceDetector(nowMs);
  }

  /** Records a tick. Called at short intervals. */
  public void onTick(long nowMs) {
    tickIsLate = nowMs - lastTickAtMs >= MIN_PAUSE_MS;
    lastTickAtMs = nowMs;
  }

  /** Returns whether nothing was received for a time, and all received data has been read. */
  public boolean isSilent(long lastReceivedAtMs, long timeoutMs) {
    return !tickIsLate && lastTickAtMs - lastReceivedAtMs >= timeoutMs;
  }
}
