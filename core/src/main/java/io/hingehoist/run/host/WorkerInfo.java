package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import java.util.List;

/**
 * What a worker says of itself.
 *
 * @param workerId names this life of the worker; another life has another name
 * @param address where it takes orders
 * @param version rises with each account, so that one that overtakes another is known
 * @param clockMs the worker's own clock when it said so
 */
public record WorkerInfo(
    String workerId,
    String service,
    String address,
    String zone,
    boolean draining,
    Room capacity,
    List<String> labels,
    long version,
    long clockMs) {

  /** Copies the list. */
  public WorkerInfo {
    labels = List.copyOf(labels);
  }

  /** Returns this account as that of a worker that is leaving. */
  WorkerInfo asDraining() {
    return new WorkerInfo(
        workerId, service, address, zone, true, capacity, labels, version, clockMs);
  }
}
