package io.hingehoist.run.host;

/**
 * Derives from observed response times how long a call to a worker may take before it counts as
 * lost, and reports whether calls are currently being lost.
 *
 * <p>Uses the smoothed mean and deviation of RFC 6298 (the retransmission timer of TCP) with its
 * doubling after each loss until the next response. Not thread-safe: confined to the event-loop
 * thread.
 */
final class AdaptiveTimeout {
  private static final double MEAN_WEIGHT = 0.125;
  private static final double DEVIATION_WEIGHT = 0.25;
  private static final int DEVIATIONS = 4;

  /** Applies until the first response; half of the maximum. */
  private static final long INITIAL_TIMEOUT_MS = 60;

  /**
   * A worker on the same box responds in about 1 ms; with a lower minimum, calls during its pauses
   * would count as lost.
   */
  private static final long MIN_TIMEOUT_MS = 20;

  /**
   * The most urgent jobs have some 200 ms in total; a lost call that is detected later than this
   * makes the job late.
   */
  private static final long MAX_TIMEOUT_MS = 120;

  /** How long further losses are expected after two lost calls. */
  private static final long LOSSY_PERIOD_MS = 2_000;

  private double meanMs = -1;
  private double deviationMs;
  private int consecutiveLosses;
  private long lastLossAtMs = -LOSSY_PERIOD_MS;
  private long previousLossAtMs = -LOSSY_PERIOD_MS;

  /** Records a response and the time it took. */
  void recordResponse(long responseTimeMs) {
    consecutiveLosses = 0;
    if (meanMs < 0) {
      meanMs = responseTimeMs;
      deviationMs = responseTimeMs / 2.0;
      return;
    }
    deviationMs += DEVIATION_WEIGHT * (Math.abs(meanMs - responseTimeMs) - deviationMs);
    meanMs += MEAN_WEIGHT * (responseTimeMs - meanMs);
  }

  /** Records that a call got no response. */
  void recordLoss(long nowMs) {
    consecutiveLosses++;
    previousLossAtMs = lastLossAtMs;
    lastLossAtMs = nowMs;
  }

  /** Returns whether two calls were lost recently. A single lost call may just have been slow. */
  boolean isLossy(long nowMs) {
    return nowMs - previousLossAtMs < LOSSY_PERIOD_MS;
  }

  /** Returns the time after which a call sent now counts as lost. */
  long timeoutMs() {
    double estimatedMs = meanMs < 0 ? INITIAL_TIMEOUT_MS : meanMs + DEVIATIONS * deviationMs;
    double baseMs = Math.max(MIN_TIMEOUT_MS, estimatedMs);
    double backedOffMs = baseMs * (1L << Math.min(consecutiveLosses, 4));
    return (long) Math.min(MAX_TIMEOUT_MS, backedOffMs);
  }
}
