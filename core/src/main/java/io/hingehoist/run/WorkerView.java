package io.hingehoist.run;

import io.hingehoist.message.Room;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import java.util.ArrayList;
import java.util.List;

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

  /** Room of this owner's runs that ended after the row was written. */
  private Room freed = Rooms.none();

  private long avoidedUntilMs;
  private int activeRuns;

  WorkerView(String hostId, WorkerRow row) {
    this.hostId = hostId;
    this.row = row;
  }

  WorkerRow row() {
    return row;
  }

  void update(WorkerRow newRow, long lastOrder) {
    row = newRow;
    freed = Rooms.none();
    unseen.removeIf(
        order -> {
          boolean seen = order.order() <= lastOrder;
          if (seen) {
            unseenNeed = Rooms.minus(unseenNeed, order.need());
          }
          return seen;
        });
  }

  int activeRuns() {
    return activeRuns;
  }

  void noteOver() {
    activeRuns--;
  }

  void noteOrder(long order, Room need) {
    activeRuns++;
    unseen.add(new Unseen(order, need));
    unseenNeed = Rooms.plus(unseenNeed, need);
  }

  void noteEnd(Room need) {
    activeRuns--;
    // A worker that is nearly full is shared out by its host, which may offer the room to another.
    if (!Rooms.isTight(row.free(), row.capacity())) {
      freed = Rooms.plus(freed, need);
    }
  }

  void avoidUntil(long untilMs) {
    avoidedUntilMs = Math.max(avoidedUntilMs, untilMs);
  }

  Room free() {
    return Rooms.minus(Rooms.plus(row.free(), freed), unseenNeed);
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
