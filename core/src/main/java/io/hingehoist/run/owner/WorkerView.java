package io.hingehoist.run.owner;

import io.hingehoist.message.Room;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import io.hingehoist.run.Rooms;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * An owner's view of one worker: the last row that its host sent, less the room of the orders that
 * the host had not yet received by then. Not thread-safe: confined to the thread of its {@link
 * JobOwner}.
 */
final class WorkerView {
  private record UnseenOrder(long orderNumber, Room need) {}

  final String hostId;
  private final List<UnseenOrder> unseenOrders = new ArrayList<>();
  private WorkerRow row;
  private Room unseenNeed = Rooms.none();

  /**
   * The free room of the row less the room of unseen orders, plus the room of runs that have ended
   * since. Kept as a field because each placement of a task reads it for every worker.
   */
  private Room free;

  private long avoidedUntilMs;
  private int activeRuns;
  private final Set<String> suspectTasks = new HashSet<>();

  WorkerView(String hostId, WorkerRow row) {
    this.hostId = hostId;
    this.row = row;
    this.free = row.free();
  }

  WorkerRow row() {
    return row;
  }

  void update(WorkerRow newRow, long lastOrder) {
    row = newRow;
    unseenOrders.removeIf(
        unseen -> {
          boolean seen = unseen.orderNumber() <= lastOrder;
          if (seen) {
            unseenNeed = Rooms.minus(unseenNeed, unseen.need());
          }
          return seen;
        });
    free = Rooms.minus(row.free(), unseenNeed);
  }

  /**
   * Returns whether a task of this owner is on the worker that is suspected of crashing workers.
   */
  boolean hasSuspect() {
    return !suspectTasks.isEmpty();
  }

  int activeRuns() {
    return activeRuns;
  }

  /** Records that an order of a task started no run. */
  void recordNotStarted(String task) {
    activeRuns--;
    suspectTasks.remove(task);
  }

  void recordOrder(long orderNumber, OwnedTask task) {
    Room need = task.plan().need();
    activeRuns++;
    if (task.isSuspect()) {
      suspectTasks.add(task.name());
    }
    unseenOrders.add(new UnseenOrder(orderNumber, need));
    unseenNeed = Rooms.plus(unseenNeed, need);
    free = Rooms.minus(free, need);
  }

  void recordEnd(String task, Room need) {
    activeRuns--;
    suspectTasks.remove(task);
    // The host allocates the room of a nearly full worker and may offer it to another owner.
    if (!Rooms.isNearlyFull(row.free(), row.capacity())) {
      free = Rooms.plus(free, need);
    }
  }

  void avoidUntil(long untilMs) {
    avoidedUntilMs = Math.max(avoidedUntilMs, untilMs);
  }

  /** Returns the free room, as far as this owner knows. */
  Room free() {
    return free;
  }

  /** Returns the share of the worker's scarcest resource that a further run would leave free. */
  double shareLeft(Room need) {
    return Rooms.shareLeft(need, free(), row.capacity());
  }

  boolean acceptsRuns(long nowMs) {
    return row.state() == WorkerState.READY && nowMs >= avoidedUntilMs;
  }

  /** Returns whether the host reports the worker as failing its runs, as slow or as stalled. */
  boolean isUnhealthy() {
    return switch (row.state()) {
      case FAILING, SLOW, STALLED -> true;
      case READY, DRAINING, SILENT -> false;
    };
  }

  boolean isFailing() {
    return row.state() == WorkerState.FAILING;
  }
}
