package io.hingehoist.run;

/**
 * How long a call to a worker may take before it counts as lost, learned from the answers seen.
 *
 * <p>The smoothed mean and deviation of RFC 6298 (retransmission timer of TCP), with its doubling
 * after each loss until the next answer. Not thread-safe: {@link WorkerHost} owns it.
 */
final class AnswerTimes {
  private static final double MEAN_WEIGHT = 0.125;
  private static final double DEVIATION_WEIGHT = 0.25;
  private static final int DEVIATIONS = 4;

  /** Before the first answer; answers of a process that has just started took up to 40 ms. */
  private static final long FIRST_MS = 60;

  /** A worker on the same box answers within 2 ms; garbage collection takes up to 10 ms. */
  private static final long MIN_MS = 20;

  /** The fixed time-out that stood here before: no worker that is well was seen to need it. */
  private static final long MAX_MS = 120;

  private double meanMs = -1;
  private double deviationMs;
  private int lossesInARow;

  /** Notes an answer, and how long it took. */
  void noteAnswer(long tookMs) {
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
  void noteLoss() {
    lossesInARow++;
  }

  /** Returns the time after which a call that is sent now counts as lost. */
  long timeoutMs() {
    double learnedMs = meanMs < 0 ? FIRST_MS : meanMs + DEVIATIONS * deviationMs;
    double startMs = Math.max(MIN_MS, learnedMs);
    double backedOffMs = startMs * (1L << Math.min(lossesInARow, 4));
    return (long) Math.min(MAX_MS, backedOffMs);
  }
}
