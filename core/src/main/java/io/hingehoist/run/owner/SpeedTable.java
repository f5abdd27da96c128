package io.hingehoist.run.owner;

import java.util.HashMap;
import java.util.Map;

/**
 * How slow each worker is against all of them: the ratio of run times to their estimates, averaged.
 *
 * <p>What is known of a worker fades within seconds, so that one that was left out is tried again.
 * Owned by {@link JobOwner}.
 */
final class SpeedTable {
  private static final double WEIGHT = 0.15;
  private static final double OVERALL_WEIGHT = 0.01;
  private static final double HALF_LIFE_MS = 2_500;
  private static final double MAX_RATIO = 50;

  private static final class Speed {
    private double ratio;
    private long atMs;

    /** What is left of the ratio at a moment: a pass over the tasks that wait asks many times. */
    private double fadedRatio;

    private long fadedAtMs = -1;
  }

  private final Map<String, Speed> byWorker = new HashMap<>();
  private double overall = 1;

  /** Notes a run that ended well. */
  void noteRun(String workerId, long ranMs, long estimateMs, long nowMs) {
    double ratio = ratio(ranMs, estimateMs);
    overall += OVERALL_WEIGHT * (Math.min(ratio, 3 * overall) - overall);
    Speed speed = speed(workerId, nowMs);
    speed.ratio += WEIGHT * (ratio / overall - speed.ratio);
  }

  /** Notes a run that is not over yet and already takes longer than its worker's runs do. */
  void noteOverdue(String workerId, long ranMs, long estimateMs, long nowMs) {
    Speed speed = speed(workerId, nowMs);
    double relative = ratio(ranMs, estimateMs) / overall;
    if (relative > speed.ratio) {
      speed.ratio += WEIGHT * (relative - speed.ratio);
    }
  }

  private static double ratio(long ranMs, long estimateMs) {
    return Math.min(MAX_RATIO, (double) ranMs / Math.max(1, estimateMs));
  }

  private Speed speed(String workerId, long nowMs) {
    Speed speed = byWorker.computeIfAbsent(workerId, id -> new Speed());
    speed.ratio = faded(speed, nowMs);
    speed.atMs = nowMs;
    speed.fadedAtMs = -1;
    return speed;
  }

  private static double faded(Speed speed, long nowMs) {
    if (speed.atMs == 0) {
      return 1;
    }
    if (speed.fadedAtMs != nowMs) {
      double left = Math.pow(0.5, (nowMs - speed.atMs) / HALF_LIFE_MS);
      speed.fadedRatio = 1 + (speed.ratio - 1) * left;
      speed.fadedAtMs = nowMs;
    }
    return speed.fadedRatio;
  }

  /** Returns how many times as long as usual a worker takes; 1 for one that nothing is known of. */
  double slowness(String workerId, long nowMs) {
    Speed speed = byWorker.get(workerId);
    return speed == null ? 1 : faded(speed, nowMs);
  }

  /** Returns the time that a run is expected to take on a worker of usual speed. */
  double expectedMs(long estimateMs) {
    return Math.max(1, estimateMs) * overall;
  }

  void forget(String workerId) {
    byWorker.remove(workerId);
  }
}
