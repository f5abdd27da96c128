package io.hingehoist.run.owner;

import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.run.load.Lateness;
import io.hingehoist.run.load.UrgentReservation;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * Orders runs for the tasks that wait, and tells hosts what waits in vain. Owned by {@link
 * JobOwner}.
 */
final class RunPlacement {
  private final HostViews hosts;
  private final WorkerChoice choice;
  private final UrgentReservation reservation;
  private final OwnerOutbox outbox;
  private final Consumer<OwnedTask> onOrdered;
  private final WaitingTasks waiting = new WaitingTasks();
  private final WaitingReport report = new WaitingReport();

  /**
   * Creates a placement of no tasks.
   *
   * @param reservation the room that long work leaves to urgent work
   * @param onOrdered gets each task of which a run was ordered
   */
  RunPlacement(
      HostViews hosts,
      WorkerChoice choice,
      UrgentReservation reservation,
      OwnerOutbox outbox,
      Consumer<OwnedTask> onOrdered) {
    this.reservation = reservation;
    this.hosts = hosts;
    this.choice = choice;
    this.outbox = outbox;
    this.onOrdered = onOrdered;
  }

  void add(OwnedTask task) {
    waiting.add(task);
  }

  void addAll(List<OwnedTask> tasks) {
    waiting.addAll(tasks);
  }

  /** Adds the tasks of a job that came now. */
  void addArrived(List<OwnedTask> tasks, long nowMs) {
    for (OwnedTask task : tasks) {
      reservation.noteArrival(task.priority(), task.plan().estimateMs(), nowMs);
    }
    waiting.addAll(tasks);
  }

  void remove(OwnedTask task) {
    waiting.remove(task);
  }

  /** Returns the number of tasks that wait. */
  int waitingCount() {
    return waiting.size();
  }

  /** Puts tasks behind that can't be in time any more. */
  void putLateBehind(ToDoubleFunction<OwnedTask> expectedMs, long nowMs) {
    waiting.putLateBehind(expectedMs, nowMs);
  }

  /** Orders runs, best priority first, as far as there is room. */
  void place(long nowMs) {
    if (waiting.size() > 0) {
      placeWaiting(nowMs);
    }
    tellWaiting(nowMs);
  }

  private void placeWaiting(long nowMs) {
    OrderBatch batch = new OrderBatch();
    PlacementPass pass = newPass(nowMs);
    waiting.offer(
        task -> order(task, 0, pass, batch, nowMs),
        task -> order(task, Lateness.SPARE_SHARE, pass, batch, nowMs));
    batch.emit(outbox::send);
  }

  /** Hosts give freed room to the owner whose work comes first, so they hear what waits. */
  private void tellWaiting(long nowMs) {
    if (report.isRested(hosts.followedCount(), nowMs)
        && report.isNews(waiting.rows(nowMs), nowMs)) {
      OwnerWaiting news = report.last();
      hosts.followed().forEach(host -> outbox.send(host.hostId, news));
    }
  }

  /** Tells a host that may not have heard it what waits here. */
  void tellWaitingTo(String hostId) {
    outbox.send(hostId, report.last());
  }

  /** Begins a pass over the tasks that wait. */
  PlacementPass newPass(long nowMs) {
    return new PlacementPass(choice, hosts.followed(), hosts.all(), nowMs);
  }

  /**
   * Orders a run of a task if a worker has room for it.
   *
   * @param spareShare the share of the worker that must stay free beside the run
   */
  private boolean order(
      OwnedTask task, double spareShare, PlacementPass pass, OrderBatch batch, long nowMs) {
    if (isHeldBack(task, pass, nowMs)) {
      return false;
    }
    Optional<WorkerView> chosen = pass.choose(task);
    if (chosen.isEmpty() || !spares(chosen.get(), task, spareShare)) {
      return false;
    }
    WorkerView worker = chosen.get();
    task.noteOrdered(worker, nowMs);
    task.job().noteOrdered();
    onOrdered.accept(task);
    long order = batch.add(task, hosts.find(worker.hostId).orElseThrow());
    worker.noteOrder(order, task);
    return true;
  }

  private boolean isHeldBack(OwnedTask task, PlacementPass pass, long nowMs) {
    if (reservation.isNone()) {
      return false;
    }
    OwnedJob job = task.job();
    return reservation.holdsBack(
        task.priority(), job.mayHaveStarted(), pass.freeShare(job.plan().service()), nowMs);
  }

  /**
   * What is begun goes on in any case. A worker that this owner uses for nothing else may be
   * filled, as some tasks need all of one.
   */
  private static boolean spares(WorkerView worker, OwnedTask task, double spareShare) {
    return task.job().mayHaveStarted()
        || worker.activeRuns() == 0
        || worker.shareLeft(task.plan().need()) >= spareShare;
  }
}
