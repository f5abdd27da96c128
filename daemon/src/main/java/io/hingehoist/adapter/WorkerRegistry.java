package io.hingehoist.adapter;

import io.hingehoist.run.host.WorkerInfo;
import java.util.Optional;

/** What a host offers to the workers on its box. Used on the event loop. */
public interface WorkerRegistry {

  /** Takes a worker's account of itself; returns why it names no worker to use, if it does not. */
  Optional<IgnoredHeartbeat> workerHeartbeat(WorkerInfo info);

  /** Takes note of a heartbeat that names no worker. It changes nothing else. */
  void heartbeatIgnored(IgnoredHeartbeat heartbeat);

  /** Notes that a worker takes its leave. */
  void workerLeaves(String workerId);
}
