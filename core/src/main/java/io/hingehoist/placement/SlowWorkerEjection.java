package io.hingehoist.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/** Excludes workers from placement that are far slower than the others of their service. */
public final class SlowWorkerEjection {
  /** Time for which a slow worker is excluded before it is tried again. */
  private static final long EJECTION_MS = 2_000;

  /** Slowness up to which a worker is never ejected, however fast the others are. */
  private static final double MIN_SLOW_MICROS = 100_000;

  private static final int MIN_WORKERS = 3;

  private SlowWorkerEjection() {}

  /**
   * Ejects the workers that are slower than the median by more than a factor.
   *
   * @param factor the factor; 0 to eject none
   * @param maxPercent the share of the workers that may be ejected at once, in percent
   * @return the workers that this call ejected
   */
  public static <W> List<Worker<W>> eject(
      Collection<Worker<W>> workers, double factor, long maxPercent, long nowMs) {
    double[] slownessMicros =
        workers.stream()
            .flatMap(worker -> worker.slownessMicros(nowMs).stream())
            .mapToDouble(Double::doubleValue)
            .sorted()
            .toArray();
    if (factor <= 0 || slownessMicros.length < MIN_WORKERS) {
      return List.of();
    }
    double limitMicros = Math.max(MIN_SLOW_MICROS, factor * median(slownessMicros));
    long ejectedCount = workers.stream().filter(worker -> worker.isEjected(nowMs)).count();
    long allowed = Math.max(0, workers.size() * maxPercent / 100 - ejectedCount);
    List<Worker<W>> slow =
        workers.stream()
            .filter(worker -> !worker.isEjected(nowMs))
            .filter(worker -> worker.slownessMicros(nowMs).orElse(0.0) > limitMicros)
            .limit(allowed)
            .toList();
    slow.forEach(worker -> worker.eject(nowMs + EJECTION_MS));
    return slow;
  }

  private static double median(double[] sorted) {
    return Arrays.stream(sorted).skip(sorted.length / 2).findFirst().orElseThrow();
  }
}
