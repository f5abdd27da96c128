package io.hingehoist.adapter;

import io.hingehoist.run.host.WorkerInfo;
import java.util.Optional;

/**
 * Receives the registrations of the workers on a box; implemented by the host. Not thread-safe:
 * confined to the event loop.
 */
public interface WorkerRegistry {

  /** Processes a heartbeat of a worker. Returns why it was ignored, or empty if it was accepted. */
  Optional<IgnoredHeartbeat> workerHeartbeat(WorkerInfo info);

  /**
   * Logs and counts a heartbeat that names no usable worker. The state of the registry does not
   * change.
   */
  void heartbeatIgnored(IgnoredHeartbeat heartbeat);

  /** Records that a worker has deregistered. */
  void workerLeaves(String workerId);
}
