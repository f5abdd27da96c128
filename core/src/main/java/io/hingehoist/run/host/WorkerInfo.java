package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import java.util.List;

/**
 * The contents of a worker's heartbeat.
 *
 * @param workerId the name of the worker; a restarted worker may have the same name
 * @param address where the worker accepts calls
 * @param version increases with each heartbeat, so that reordered heartbeats are detected
 * @param clockMs the worker's own clock when it sent the heartbeat
 * @param startedAtEpochMs when this instance started, in milliseconds since 1970; 0 if workers
 *     don't report it
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

  /** Creates the heartbeat of a worker that does not report its start time. */
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

  /** Returns the id of this instance, which is unique among all instances of all workers. */
  public String instanceId() {
    return startedAtEpochMs == 0 ? workerId : workerId + '@' + startedAtEpochMs;
  }

  /** Returns a copy of this heartbeat that marks the worker as draining. */
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
   * Returns the initial state of a restarted instance of the same worker, of which only the start
   * time is known.
   */
  WorkerInfo asRestarted(long restartedAtEpochMs) {
    return new WorkerInfo(
        workerId, service, address, zone, false, capacity, labels, 0, 0, restartedAtEpochMs);
  }
}
