package io.hingehoist.run;

import io.hingehoist.message.HostRooms;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.WorkerRoom;
import io.hingehoist.message.WorkerRow;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decodes {@link HostRooms}, the short form of {@link HostRows} that {@link HostRowsEncoder} sends
 * on one connection. Keeps the rows that were last received in full for this. Not thread-safe.
 */
public final class HostRowsDecoder {
  private List<WorkerRow> baseline = List.of();

  private HostRowsDecoder() {}

  /** Creates the state of a new connection. */
  public static HostRowsDecoder create() {
    return new HostRowsDecoder();
  }

  /** Records rows that were received in full, to which later short forms refer. */
  public void recordFull(HostRows rows) {
    baseline = rows.workers();
  }

  /**
   * Returns the rows that a short form stands for; empty if the number of workers does not match.
   */
  public Optional<HostRows> decode(HostRooms rooms) {
    if (rooms.workers().size() != baseline.size()) {
      return Optional.empty();
    }
    List<WorkerRow> rows = new ArrayList<>();
    for (int i = 0; i < baseline.size(); i++) {
      rows.add(withRoom(baseline.get(i), rooms.workers().get(i)));
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
