package io.hingehoist.run.owner;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how slow each worker is compared with the whole fleet, as the product of two factors.
 *
 * <p>The first is the usual slowness of its type of machine, which the worker's host reports and
 * which does not decay. The second is its present deviation from that, measured by this owner's
 * runs there. It decays within seconds, so that an excluded worker is tried again. A long run on a
 * slow type of machine does not by itself make a worker unhealthy. Not thread-safe: confined to the
 * thread of its {@link JobOwner}.
 */
final class WorkerSpeeds {
  private static final double RUN_WEIGHT = 0.15;
  private static final double MEAN_RATIO_WEIGHT = 0.01;
  private static final double HALF_LIFE_MS = 2_500;
  private static final double MAX_RATIO = 50;

  private static final class Speed {
    /** The usual run time that the host reports, as a multiple of the estimate; 0 if unknown. */
    private double usualPace;

    /** The moving average of run times relative to the usual run time of the worker. */
    private double runTimeRatio;

    private long updatedAtMs;

    /** The decayed ratio at one point in time, cached as a placement pass reads it many times. */
    private double decayedRatio;

    private long decayedAtMs = -1;
  }

  private final Map<String, Speed> byWorker = new HashMap<>();
  private double meanRatio = 1;

  /**
   * Records the usual pace of a worker, as reported by its host.
   *
   * @param percent the usual run time in percent of the estimate; 0 if unknown
   */
  void recordUsualPace(String workerId, int percent) {
    if (percent > 0) {
      byWorker.computeIfAbsent(workerId, id -> new Speed()).usualPace = percent / 100.0;
    }
  }

  /** Records a run that ended successfully. */
  void recordRun(String workerId, long ranMs, long estimateMs, long nowMs) {
    double runTimeRatio = runTimeRatio(ranMs, estimateMs);
    meanRatio += MEAN_RATIO_WEIGHT * (Math.min(runTimeRatio, 3 * meanRatio) - meanRatio);
    Speed speed = speed(workerId, nowMs);
    speed.runTimeRatio +=
        RUN_WEIGHT * (runTimeRatio / meanRatio / usualSlowness(speed) - speed.runTimeRatio);
  }

  /** Returns the usual run time of a worker as a multiple of the mean of the fleet. */
  private double usualSlowness(Speed speed) {
    return speed.usualPace == 0 ? 1 : speed.usualPace / meanRatio;
  }

  /** Records an active run that already takes longer than the runs of its worker usually do. */
  void recordOverdueRun(String workerId, long ranMs, long estimateMs, long nowMs) {
    Speed speed = speed(workerId, nowMs);
    double relative = runTimeRatio(ranMs, estimateMs) / meanRatio / usualSlowness(speed);
    if (relative > speed.runTimeRatio) {
      speed.runTimeRatio += RUN_WEIGHT * (relative - speed.runTimeRatio);
    }
  }

  private static double runTimeRatio(long ranMs, long estimateMs) {
    return Math.min(MAX_RATIO, (double) ranMs / Math.max(1, estimateMs));
  }

  private Speed speed(String workerId, long nowMs) {
    Speed speed = byWorker.computeIfAbsent(workerId, id -> new Speed());
    speed.runTimeRatio = decayed(speed, nowMs);
    speed.updatedAtMs = nowMs;
    speed.decayedAtMs = -1;
    return speed;
  }

  private static double decayed(Speed speed, long nowMs) {
    if (speed.updatedAtMs == 0) {
      return 1;
    }
    if (speed.decayedAtMs != nowMs) {
      double remaining = Math.pow(0.5, (nowMs - speed.updatedAtMs) / HALF_LIFE_MS);
      speed.decayedRatio = 1 + (speed.runTimeRatio - 1) * remaining;
      speed.decayedAtMs = nowMs;
    }
    return speed.decayedRatio;
  }

  /**
   * Returns the present run time of a worker as a multiple of the mean of the fleet; 1 for an
   * unknown worker.
   */
  double slownessVsFleet(String workerId, long nowMs) {
    Speed speed = byWorker.get(workerId);
    return speed == null ? 1 : usualSlowness(speed) * decayed(speed, nowMs);
  }

  /** Returns the present run time of a worker as a multiple of its own usual one; 1 if unknown. */
  double slownessVsUsual(String workerId, long nowMs) {
    Speed speed = byWorker.get(workerId);
    return speed == null ? 1 : decayed(speed, nowMs);
  }

  /** Returns the expected run time on a worker of mean speed. */
  double expectedMs(long estimateMs) {
    return Math.max(1, estimateMs) * meanRatio;
  }

  void remove(String workerId) {
    byWorker.remove(workerId);
  }
}
