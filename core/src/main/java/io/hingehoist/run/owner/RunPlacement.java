package io.hingehoist.run.owner;

import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.run.load.Lateness;
import io.hingehoist.run.load.UrgentReservation;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * Orders runs for waiting tasks, and reports to hosts the tasks that remain waiting.
 *
 * <p>Not thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class RunPlacement {
  private final HostViews hosts;
  private final WorkerSelector selector;
  private final UrgentReservation reservation;
  private final OwnerOutbox outbox;
  private final Consumer<OwnedTask> onOrdered;
  private final WaitingTasks waiting = new WaitingTasks();
  private final WaitingReport waitingReport = new WaitingReport();

  /**
   * Creates a placement without waiting tasks.
   *
   * @param reservation the share of room that is reserved for urgent work
   * @param onOrdered receives each task for which a run is ordered
   */
  RunPlacement(
      HostViews hosts,
      WorkerSelector selector,
      UrgentReservation reservation,
      OwnerOutbox outbox,
      Consumer<OwnedTask> onOrdered) {
    this.reservation = reservation;
    this.hosts = hosts;
    this.selector = selector;
    this.outbox = outbox;
    this.onOrdered = onOrdered;
  }

  void add(OwnedTask task) {
    waiting.add(task);
  }

  void addAll(List<OwnedTask> tasks) {
    waiting.addAll(tasks);
  }

  /** Adds tasks of a job that has just arrived. */
  void addArrived(List<OwnedTask> tasks, long nowMs) {
    for (OwnedTask task : tasks) {
      reservation.recordArrival(task.priority(), task.plan().estimateMs(), nowMs);
    }
    waiting.addAll(tasks);
  }

  void remove(OwnedTask task) {
    waiting.remove(task);
  }

  /** Returns the number of waiting tasks. */
  int waitingCount() {
    return waiting.size();
  }

  /** Moves tasks that can no longer be in time behind all others. */
  void demoteLate(ToDoubleFunction<OwnedTask> expectedMs, long nowMs) {
    waiting.demoteLate(expectedMs, nowMs);
  }

  /** Orders runs in order of priority, as far as there is room. */
  void place(long nowMs) {
    if (waiting.size() > 0) {
      placeWaiting(nowMs);
    }
    sendWaitingReport(nowMs);
  }

  private void placeWaiting(long nowMs) {
    OrderBatch batch = new OrderBatch();
    PlacementPass pass = newPass(nowMs);
    waiting.offer(
        task -> tryOrder(task, 0, pass, batch, nowMs),
        task -> tryOrder(task, Lateness.MIN_FREE_SHARE_FOR_LATE, pass, batch, nowMs));
    batch.emit(outbox::send);
  }

  /**
   * Sends hosts the waiting tasks, as they offer freed room to the owner with the most urgent one.
   */
  private void sendWaitingReport(long nowMs) {
    if (waitingReport.isDue(hosts.followedCount(), nowMs)
        && waitingReport.updateIfChanged(waiting.rows(nowMs), nowMs)) {
      OwnerWaiting update = waitingReport.last();
      hosts.followed().forEach(host -> outbox.send(host.hostId, update));
    }
  }

  /** Sends the last report to a host that may not have received it. */
  void sendWaitingReportTo(String hostId) {
    outbox.send(hostId, waitingReport.last());
  }

  /** Begins a pass over the waiting tasks. */
  PlacementPass newPass(long nowMs) {
    return new PlacementPass(selector, hosts.followed(), hosts.all(), nowMs);
  }

  /**
   * Orders a run of a task if a worker has room for it.
   *
   * @param minFreeShare the share of the worker that must remain free once the run is placed
   */
  private boolean tryOrder(
      OwnedTask task, double minFreeShare, PlacementPass pass, OrderBatch batch, long nowMs) {
    if (mustLeaveRoomToUrgent(task, pass, nowMs)) {
      return false;
    }
    Optional<WorkerView> chosen = pass.choose(task);
    if (chosen.isEmpty() || !leavesEnoughFree(chosen.get(), task, minFreeShare)) {
      return false;
    }
    WorkerView worker = chosen.get();
    task.recordOrder(worker, nowMs);
    task.job().recordOrder();
    onOrdered.accept(task);
    long orderNumber = batch.add(task, hosts.find(worker.hostId).orElseThrow());
    worker.recordOrder(orderNumber, task);
    return true;
  }

  private boolean mustLeaveRoomToUrgent(OwnedTask task, PlacementPass pass, long nowMs) {
    if (reservation.isDisabled()) {
      return false;
    }
    OwnedJob job = task.job();
    return reservation.mustWait(
        task.priority(), job.mayHaveStarted(), pass.freeShare(job.plan().service()), nowMs);
  }

  /**
   * Returns whether a run may be placed on a worker with regard to the share that must remain free.
   * The limit does not apply to jobs that have started, nor to a worker that runs nothing else of
   * this owner, as some tasks need a whole worker.
   */
  private static boolean leavesEnoughFree(WorkerView worker, OwnedTask task, double minFreeShare) {
    return task.job().mayHaveStarted()
        || worker.activeRuns() == 0
        || worker.shareLeft(task.plan().need()) >= minFreeShare;
  }
}
