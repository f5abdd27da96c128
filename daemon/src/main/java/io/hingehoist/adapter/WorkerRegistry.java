package io.hingehoist.adapter;

import io.hingehoist.run.WorkerInfo;

/** What a host offers to the workers on its box. Used on the event loop. */
public interface WorkerRegistry {

  /** Takes a worker's account of itself. */
  void workerSeen(WorkerInfo info);

  /** Notes that a worker takes its leave. */
  void workerLeaves(String workerId);
}
