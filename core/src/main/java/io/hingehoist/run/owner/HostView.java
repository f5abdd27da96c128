package io.hingehoist.run.owner;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.WorkerRow;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An owner's view of one host while a session with it is open.
 *
 * <p>Not thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class HostView {
  final String hostId;
  private final Map<String, WorkerView> workers = new LinkedHashMap<>();
  private long lastOrder;
  private long lastUpdateAtMs;

  HostView(String hostId) {
    this.hostId = hostId;
  }

  long nextOrderNumber() {
    return ++lastOrder;
  }

  /** Records the time of the host's last update of its workers. */
  void recordUpdateTime(long nowMs) {
    lastUpdateAtMs = nowMs;
  }

  /**
   * Returns the time of the host's last update of its workers, up to which the state of its runs is
   * known.
   */
  long lastUpdateAtMs() {
    return lastUpdateAtMs;
  }

  void update(HostRows rows) {
    List<String> present = new ArrayList<>();
    for (WorkerRow row : rows.workers()) {
      present.add(row.workerId());
      WorkerView view = workers.computeIfAbsent(row.workerId(), id -> new WorkerView(hostId, row));
      view.update(row, rows.lastOrder());
    }
    workers.keySet().retainAll(present);
  }

  Collection<WorkerView> workers() {
    return workers.values();
  }

  /** Returns the total CPU capacity of the host's workers. */
  long cpuMilli() {
    long cpuMilli = 0;
    for (WorkerView worker : workers.values()) {
      cpuMilli += worker.row().capacity().cpuMilli();
    }
    return cpuMilli;
  }

  Optional<WorkerView> worker(String workerId) {
    return Optional.ofNullable(workers.get(workerId));
  }
}
