package io.hingehoist.run.owner;

import io.hingehoist.message.WorkerState;
import java.util.function.LongFunction;

/**
 * Says which runs are better moved to another worker: those on a worker that stands still or is
 * slow, as long as that gains time. Owned by {@link JobOwner}.
 */
final class RunWatch {
  /** A run is moved when it takes this many times as long as expected, on a slow worker. */
  private static final double STRAGGLER_FACTOR = 2.5;

  private static final long STRAGGLER_MIN_MS = 100;

  /**
   * Between these shares of its expected time a run is left on a worker that became slow: most of
   * it was done before.
   */
  private static final double NEARLY_DONE = 0.5;

  /** What has run for so long on a slow worker will not end soon. */
  private static final double OVERDUE = 1.2;

  private final HostViews hosts;
  private final SpeedTable speeds;
  private final WorkerChoice choice;
  private final LongFunction<PlacementPass> newPass;

  /**
   * Creates a watch.
   *
   * @param newPass begins a placement pass at a time
   */
  RunWatch(
      HostViews hosts,
      SpeedTable speeds,
      WorkerChoice choice,
      LongFunction<PlacementPass> newPass) {
    this.hosts = hosts;
    this.speeds = speeds;
    this.choice = choice;
    this.newPass = newPass;
  }

  /** Returns whether a run that goes on is to be moved, and notes what it says of its worker. */
  boolean isToBeMoved(OwnedTask task, long nowMs) {
    long ranMs = knownRunMs(task);
    double expectedMs = speeds.expectedMs(task.plan().estimateMs());
    if (isBetterElsewhere(task, ranMs, expectedMs, nowMs)) {
      return true;
    }
    if (ranMs < STRAGGLER_MIN_MS || ranMs < STRAGGLER_FACTOR * expectedMs) {
      return false;
    }
    speeds.noteOverdue(task.workerId(), ranMs, task.plan().estimateMs(), nowMs);
    boolean slow = hosts.workerOf(task).map(worker -> choice.isSlow(worker, nowMs)).orElse(false);
    return slow && !task.isStopSent() && newPass.apply(nowMs).choose(task).isPresent();
  }

  /**
   * Returns how long a run had gone on when its host was last heard: an end that is on its way on a
   * silent connection must not make a sound worker look slow.
   */
  long knownRunMs(OwnedTask task) {
    return hosts.find(task.hostId()).orElseThrow().heardAtMs() - task.orderedAtMs();
  }

  /**
   * On the word of its host, a run leaves a worker that stands still, even if it then has to wait
   * for room, and a slow one if there is room and the run is not about to end.
   */
  private boolean isBetterElsewhere(OwnedTask task, long ranMs, double expectedMs, long nowMs) {
    WorkerState state =
        hosts.workerOf(task).map(worker -> worker.row().state()).orElse(WorkerState.SILENT);
    boolean stalled = state == WorkerState.STALLED;
    boolean slow = state == WorkerState.SLOW && !isAboutToEnd(ranMs, expectedMs);
    if (task.isStopSent() || !(stalled || slow)) {
      return false;
    }
    PlacementPass pass = newPass.apply(nowMs);
    return pass.leavesOut(task) && (stalled || pass.choose(task).isPresent());
  }

  private static boolean isAboutToEnd(long ranMs, double expectedMs) {
    return ranMs > NEARLY_DONE * expectedMs && ranMs < OVERDUE * expectedMs;
  }
}
