package io.hingehoist.owner;

import io.hingehoist.adapter.JobIntake.Waiter;
import io.hingehoist.run.JobEnd;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The callers that wait for the end of each job. Not thread-safe: confined to the event loop. */
final class JobWaiters {
  private final Map<String, List<Waiter>> waiters = new HashMap<>();

  void add(String jobId, Waiter waiter) {
    waiters.computeIfAbsent(jobId, id -> new ArrayList<>()).add(waiter);
  }

  /** Removes a waiter; returns whether it was the last waiter of its job. */
  boolean remove(String jobId, Waiter waiter) {
    List<Waiter> waiting = waiters.get(jobId);
    if (waiting == null || !waiting.remove(waiter) || !waiting.isEmpty()) {
      return false;
    }
    waiters.remove(jobId);
    return true;
  }

  boolean has(String jobId) {
    return waiters.containsKey(jobId);
  }

  /** Notifies the waiters of a job that has ended, and removes them. */
  void notifyEnd(String jobId, JobEnd end) {
    List<Waiter> waiting = waiters.remove(jobId);
    if (waiting != null) {
      waiting.forEach(waiter -> waiter.onEnd(end));
    }
  }

  boolean isEmpty() {
    return waiters.isEmpty();
  }
}
