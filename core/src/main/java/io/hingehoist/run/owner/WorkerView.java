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
 * One worker as an owner sees it: its host's last row, less the orders that the row does not know
 * of. Owned by {@link HostView}.
 */
final class WorkerView {
  private record Unseen(long order, Room need) {}

  final String hostId;
  private final List<Unseen> unseen = new ArrayList<>();
  private WorkerRow row;
  private Room unseenNeed = Rooms.none();

  /**
   * The row's free room less the unseen orders, with what ended since. Each task that is placed
   * asks every worker for it.
   */
  private Room free;

  private long avoidedUntilMs;
  private int activeRuns;
  private final Set<String> suspects = new HashSet<>();

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
    unseen.removeIf(
        order -> {
          boolean seen = order.order() <= lastOrder;
          if (seen) {
            unseenNeed = Rooms.minus(unseenNeed, order.need());
          }
          return seen;
        });
    free = Rooms.minus(row.free(), unseenNeed);
  }

  /** Returns whether a task of this owner is there under which a worker crashed before. */
  boolean hasSuspect() {
    return !suspects.isEmpty();
  }

  int activeRuns() {
    return activeRuns;
  }

  /** Notes that an order of a task came to nothing. */
  void noteNotStarted(String task) {
    activeRuns--;
    suspects.remove(task);
  }

  void noteOrder(long order, OwnedTask task) {
    Room need = task.plan().need();
    activeRuns++;
    if (task.isSuspect()) {
      suspects.add(task.name());
    }
    unseen.add(new Unseen(order, need));
    unseenNeed = Rooms.plus(unseenNeed, need);
    free = Rooms.minus(free, need);
  }

  void noteEnd(String task, Room need) {
    activeRuns--;
    suspects.remove(task);
    // A worker that is nearly full is shared out by its host, which may offer the room to another.
    if (!Rooms.isNearlyFull(row.free(), row.capacity())) {
      free = Rooms.plus(free, need);
    }
  }

  void avoidUntil(long untilMs) {
    avoidedUntilMs = Math.max(avoidedUntilMs, untilMs);
  }

  /** Returns the room that the row shows and this owner has not given out or got back since. */
  Room free() {
    return free;
  }

  /** Returns the share of the worker that stays free beside a further run, by its scarcest part. */
  double shareLeft(Room need) {
    return Rooms.shareLeft(need, free(), row.capacity());
  }

  boolean takesRuns(long nowMs) {
    return row.state() == WorkerState.READY && nowMs >= avoidedUntilMs;
  }

  /** Returns whether its host found that the worker fails what it runs, or does not get on. */
  boolean isUnwell() {
    return switch (row.state()) {
      case FAILING, SLOW, STALLED -> true;
      case READY, DRAINING, SILENT -> false;
    };
  }

  boolean isFailing() {
    return row.state() == WorkerState.FAILING;
  }
}
