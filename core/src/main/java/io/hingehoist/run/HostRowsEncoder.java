package io.hingehoist.run;

import io.hingehoist.message.HostRooms;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.WorkerRoom;
import io.hingehoist.message.WorkerRow;
import java.util.ArrayList;
import java.util.List;

/**
 * What a host has sent of its workers on one connection: who they are is said once, then only what
 * changes as they run. Of the messages that an owner gets most are such rows, and most of a row is
 * names: 30 bytes in place of 130. The other end is {@link HostRowsDecoder}. Not thread-safe.
 */
public final class HostRowsEncoder {
  private List<WorkerRow> said = List.of();

  private HostRowsEncoder() {}

  /** Creates the state of a new connection. */
  public static HostRowsEncoder create() {
    return new HostRowsEncoder();
  }

  /** Returns the shortest message that shows some rows to the other end. */
  public Message encode(HostRows rows) {
    if (!areSaid(rows.workers())) {
      said = rows.workers();
      return rows;
    }
    List<WorkerRoom> rooms = new ArrayList<>();
    for (WorkerRow row : rows.workers()) {
      rooms.add(new WorkerRoom(row.free(), row.state()));
    }
    return new HostRooms(rows.lastOrder(), rooms);
  }

  /** No worker at all is said in full as well, which is as short. */
  private boolean areSaid(List<WorkerRow> rows) {
    if (rows.isEmpty() || rows.size() != said.size()) {
      return false;
    }
    for (int i = 0; i < rows.size(); i++) {
      if (!isSameWorker(rows.get(i), said.get(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isSameWorker(WorkerRow a, WorkerRow b) {
    return a.workerId().equals(b.workerId())
        && a.service().equals(b.service())
        && a.zone().equals(b.zone())
        && a.labels().equals(b.labels())
        && a.capacity().equals(b.capacity())
        && a.pacePercent() == b.pacePercent();
  }
}
