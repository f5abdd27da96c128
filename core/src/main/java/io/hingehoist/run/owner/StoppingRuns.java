package io.hingehoist.run.owner;

import io.hingehoist.message.RunRef;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The runs of jobs that have ended before them: each was stopped, and its host has not reported its
 * end yet. Not thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class StoppingRuns {
  private final Map<RunRef, OwnedTask> tasks = new HashMap<>();

  /** Adds the last ordered run of a task. */
  void add(OwnedTask task) {
    tasks.put(task.run(), task);
  }

  /** Removes a run whose host has reported that it is over; returns its task if it was present. */
  Optional<OwnedTask> remove(String hostId, RunRef run) {
    OwnedTask task = tasks.get(run);
    if (task == null || !task.hostId().equals(hostId)) {
      return Optional.empty();
    }
    tasks.remove(run);
    return Optional.of(task);
  }

  /** Removes the runs of a host whose session has ended. */
  void removeHost(String hostId) {
    tasks.values().removeIf(task -> task.hostId().equals(hostId));
  }
}
