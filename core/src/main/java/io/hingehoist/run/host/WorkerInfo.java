package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import java.util.List;

/**
 * What a worker says of itself.
 *
 * @param workerId names the worker; a later life may have the same name
 * @param address where it takes orders
 * @param version rises with each account, so that one that overtakes another is known
 * @param clockMs the worker's own clock when it said so
 * @param startedAtEpochMs when this life began, in milliseconds since 1970; 0 where workers don't
 *     tell
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
    long clockMs,
    long startedAtEpochMs) {

  /** Copies the list. */
  public WorkerInfo {
    labels = List.copyOf(labels);
  }

  /** Creates the account of a worker that does not tell when its life began. */
  public WorkerInfo(
      String workerId,
      String service,
      String address,
      String zone,
      boolean draining,
      Room capacity,
      List<String> labels,
      long version,
      long clockMs) {
    this(workerId, service, address, zone, draining, capacity, labels, version, clockMs, 0);
  }

  /** Returns the name of this life, which no other life of any worker has. */
  public String instanceId() {
    return startedAtEpochMs == 0 ? workerId : workerId + '@' + startedAtEpochMs;
  }

  /** Returns this account as that of a worker that is leaving. */
  WorkerInfo asDraining() {
    return new WorkerInfo(
        workerId,
        service,
        address,
        zone,
        true,
        capacity,
        labels,
        version,
        clockMs,
        startedAtEpochMs);
  }

  /**
   * Returns the first account of a later life of the same worker, of which nothing else is known.
   */
  WorkerInfo asRestarted(long laterStartedAtEpochMs) {
    return new WorkerInfo(
        workerId, service, address, zone, false, capacity, labels, 0, 0, laterStartedAtEpochMs);
  }
}
