package io.hingehoist.run.host;

/**
 * How long a call to a worker may take before it counts as lost, learned from the answers seen, and
 * whether calls get lost now.
 *
 * <p>The smoothed mean and deviation of RFC 6298 (retransmission timer of TCP), with its doubling
 * after each loss until the next answer. Not thread-safe: {@link WorkerHost} owns it.
 */
final class AdaptiveTimeout {
  private static final double MEAN_WEIGHT = 0.125;
  private static final double DEVIATION_WEIGHT = 0.25;
  private static final int DEVIATIONS = 4;

  /** Until an answer has come: half of the longest. */
  private static final long FIRST_MS = 60;

  /**
   * A worker on the same box answers in about 1 ms; a shorter time would take its pauses for
   * losses.
   */
  private static final long MIN_MS = 20;

  /**
   * The most urgent jobs have some 200 ms in all: an order that is lost later than this is late.
   */
  private static final long MAX_MS = 120;

  /** After two lost calls, for how long others are expected. */
  private static final long LOSSY_FOR_MS = 2_000;

  private double meanMs = -1;
  private double deviationMs;
  private int lossesInARow;
  private long lostAtMs = -LOSSY_FOR_MS;
  private long lostBeforeAtMs = -LOSSY_FOR_MS;

  /** Notes an answer, and how long it took. */
  void recordResponse(long tookMs) {
    lossesInARow = 0;
    if (meanMs < 0) {
      meanMs = tookMs;
      deviationMs = tookMs / 2.0;
      return;
    }
    deviationMs += DEVIATION_WEIGHT * (Math.abs(meanMs - tookMs) - deviationMs);
    meanMs += MEAN_WEIGHT * (tookMs - meanMs);
  }

  /** Notes that a call got no answer. */
  void recordLoss(long nowMs) {
    lossesInARow++;
    lostBeforeAtMs = lostAtMs;
    lostAtMs = nowMs;
  }

  /** Returns whether two calls were lost a moment ago: one may just have been slow. */
  boolean isLossy(long nowMs) {
    return nowMs - lostBeforeAtMs < LOSSY_FOR_MS;
  }

  /** Returns the time after which a call that is sent now counts as lost. */
  long timeoutMs() {
    double learnedMs = meanMs < 0 ? FIRST_MS : meanMs + DEVIATIONS * deviationMs;
    double startMs = Math.max(MIN_MS, learnedMs);
    double backedOffMs = startMs * (1L << Math.min(lossesInARow, 4));
    return (long) Math.min(MAX_MS, backedOffMs);
  }
}
