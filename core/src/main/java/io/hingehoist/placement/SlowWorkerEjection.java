package io.hingehoist.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/** Finds the workers that are far slower than the others of their service. */
public final class SlowWorkerEjection {
  /** How long a slow worker is left out before it is tried again. */
  private static final long EJECTION_MS = 2_000;

  /** Below this, a worker is not called slow whatever the others do. */
  private static final double MIN_SLOW_MICROS = 100_000;

  private static final int MIN_WORKERS = 3;

  private SlowWorkerEjection() {}

  /**
   * Leaves out workers slower than the median by a factor.
   *
   * @param factor 0 for never
   * @param maxPercent the most workers that may be left out at once, in percent
   * @return the workers that were left out just now
   */
  public static <W> List<Worker<W>> eject(
      Collection<Worker<W>> workers, double factor, long maxPercent, long nowMs) {
    double[] slowness =
        workers.stream()
            .flatMap(worker -> worker.slownessMicros(nowMs).stream())
            .mapToDouble(Double::doubleValue)
            .sorted()
            .toArray();
    if (factor <= 0 || slowness.length < MIN_WORKERS) {
      return List.of();
    }
    double limit = Math.max(MIN_SLOW_MICROS, factor * median(slowness));
    long out = workers.stream().filter(worker -> worker.isEjected(nowMs)).count();
    long allowed = Math.max(0, workers.size() * maxPercent / 100 - out);
    List<Worker<W>> slow =
        workers.stream()
            .filter(worker -> !worker.isEjected(nowMs))
            .filter(worker -> worker.slownessMicros(nowMs).orElse(0.0) > limit)
            .limit(allowed)
            .toList();
    slow.forEach(worker -> worker.eject(nowMs + EJECTION_MS));
    return slow;
  }

  private static double median(double[] sorted) {
    return Arrays.stream(sorted).skip(sorted.length / 2).findFirst().orElseThrow();
  }
}
