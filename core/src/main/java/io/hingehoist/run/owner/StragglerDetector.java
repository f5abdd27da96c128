package io.hingehoist.run.owner;

import io.hingehoist.message.WorkerState;
import java.util.function.LongFunction;

/**
 * Decides which runs to move to another worker: those on a worker that is stalled or slow, if
 * moving them saves time.
 *
 * <p>Not thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class StragglerDetector {
  /** On a slow worker, a run is moved once it takes this many times its expected time. */
  private static final double STRAGGLER_FACTOR = 2.5;

  private static final long STRAGGLER_MIN_MS = 100;

  /**
   * From this share of its expected time on, a run stays on a worker that its host reports as slow,
   * until it is overdue. Most of its work was done before the worker became slow.
   */
  private static final double NEARLY_DONE_SHARE = 0.5;

  /** Past this multiple of its expected time, a run on a slow worker is not about to end. */
  private static final double OVERDUE_FACTOR = 1.2;

  private final HostViews hosts;
  private final WorkerSpeeds speeds;
  private final WorkerSelector selector;
  private final LongFunction<PlacementPass> newPass;

  /**
   * Creates a detector.
   *
   * @param newPass begins a placement pass at a given time
   */
  StragglerDetector(
      HostViews hosts,
      WorkerSpeeds speeds,
      WorkerSelector selector,
      LongFunction<PlacementPass> newPass) {
    this.hosts = hosts;
    this.speeds = speeds;
    this.selector = selector;
    this.newPass = newPass;
  }

  /**
   * Returns whether to move an active run; an overdue run is also recorded in its worker's speed.
   */
  boolean shouldMove(OwnedTask task, long nowMs) {
    long ranMs = observedRunMs(task);
    double expectedMs = speeds.expectedMs(task.plan().estimateMs());
    if (shouldLeaveUnhealthyWorker(task, ranMs, expectedMs, nowMs)) {
      return true;
    }
    if (ranMs < STRAGGLER_MIN_MS || ranMs < STRAGGLER_FACTOR * expectedMs) {
      return false;
    }
    speeds.recordOverdueRun(task.workerId(), ranMs, task.plan().estimateMs(), nowMs);
    boolean slow = hosts.workerOf(task).map(worker -> selector.isSlow(worker, nowMs)).orElse(false);
    return slow && !task.isStopSent() && newPass.apply(nowMs).choose(task).isPresent();
  }

  /**
   * Returns how long a run had lasted at the time of its host's last update. Later time does not
   * count, as the report of its end may be delayed on a silent connection, which must not make a
   * healthy worker appear slow.
   */
  long observedRunMs(OwnedTask task) {
    return hosts.find(task.hostId()).orElseThrow().lastUpdateAtMs() - task.orderedAtMs();
  }

  /**
   * Returns whether a run should leave a worker that its host reports as stalled or slow. It leaves
   * a stalled worker even if it then has to wait for room, and a slow one only if there is room
   * elsewhere and the run is not about to end.
   */
  private boolean shouldLeaveUnhealthyWorker(
      OwnedTask task, long ranMs, double expectedMs, long nowMs) {
    WorkerState state =
        hosts.workerOf(task).map(worker -> worker.row().state()).orElse(WorkerState.SILENT);
    boolean stalled = state == WorkerState.STALLED;
    boolean slow = state == WorkerState.SLOW && !isAboutToEnd(ranMs, expectedMs);
    if (task.isStopSent() || !(stalled || slow)) {
      return false;
    }
    PlacementPass pass = newPass.apply(nowMs);
    return pass.excludesUnhealthy(task) && (stalled || pass.choose(task).isPresent());
  }

  private static boolean isAboutToEnd(long ranMs, double expectedMs) {
    return ranMs > NEARLY_DONE_SHARE * expectedMs && ranMs < OVERDUE_FACTOR * expectedMs;
  }
}
