package io.hingehoist.run.owner;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.WorkerRow;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One host as an owner sees it while a session with it is open. Owned by {@link JobOwner}. */
final class HostView {
  final String hostId;
  private final Map<String, WorkerView> workers = new LinkedHashMap<>();
  private long lastOrder;
  private long heardAtMs;

  HostView(String hostId) {
    this.hostId = hostId;
  }

  long nextOrder() {
    return ++lastOrder;
  }

  /** Notes that the host said something. */
  void noteHeard(long nowMs) {
    heardAtMs = nowMs;
  }

  /** Returns the time up to which this owner knows what became of its runs there. */
  long heardAtMs() {
    return heardAtMs;
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

  /** Returns the processor of its workers. */
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
