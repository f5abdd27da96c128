package io.hingehoist.run;

import io.hingehoist.message.HostRooms;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.WorkerRoom;
import io.hingehoist.message.WorkerRow;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What an owner was told of a host's workers on one connection, so that it can read the short form
 * that {@link HostRowsEncoder} sends. Not thread-safe.
 */
public final class HostRowsDecoder {
  private List<WorkerRow> told = List.of();

  private HostRowsDecoder() {}

  /** Creates the state of a new connection. */
  public static HostRowsDecoder create() {
    return new HostRowsDecoder();
  }

  /** Takes rows that say who the workers are. */
  public void recordFull(HostRows rows) {
    told = rows.workers();
  }

  /** Returns the rows that a short form stands for; empty if it isn't of the workers told last. */
  public Optional<HostRows> decode(HostRooms rooms) {
    if (rooms.workers().size() != told.size()) {
      return Optional.empty();
    }
    List<WorkerRow> rows = new ArrayList<>();
    for (int i = 0; i < told.size(); i++) {
      rows.add(withRoom(told.get(i), rooms.workers().get(i)));
    }
    return Optional.of(new HostRows(rooms.lastOrder(), rows));
  }

  private static WorkerRow withRoom(WorkerRow row, WorkerRoom room) {
    return new WorkerRow(
        row.workerId(),
        row.service(),
        row.zone(),
        row.labels(),
        row.capacity(),
        room.free(),
        room.state(),
        row.pacePercent());
  }
}
