package io.hingehoist.run.host;

import io.hingehoist.message.WorkerCrashed;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;

/**
 * Records the recent crashes of this host's workers with the tasks that were running at the time.
 *
 * <p>The records are kept at the host so that they survive the failure of the owners of those
 * tasks. Not thread-safe: confined to the event-loop thread.
 */
final class CrashLog {
  /** Far longer than the time for which callers resubmit the same job. */
  private static final long RETENTION_MS = 60_000;

  private static final int MAX_CRASHES = 16;

  private record Crash(String workerId, long crashedAtMs, boolean repeated, List<String> tasks) {
    private WorkerCrashed toMessage(long nowMs) {
      return new WorkerCrashed(workerId, nowMs - crashedAtMs, repeated, tasks);
    }
  }

  private final Deque<Crash> newestFirst = new ArrayDeque<>();

  /**
   * Adds a crash and returns the message that reports it to owners.
   *
   * @param crashedAtMs the time of the crash, as far as known
   */
  WorkerCrashed add(WorkerInstance instance, long crashedAtMs, long nowMs) {
    removeExpired(nowMs);
    List<String> tasks = instance.runs().stream().map(run -> run.run.task()).distinct().toList();
    boolean repeated =
        !newestFirst.isEmpty() && Collections.disjoint(newestFirst.getFirst().tasks(), tasks);
    Crash crash = new Crash(instance.id(), crashedAtMs, repeated, tasks);
    newestFirst.addFirst(crash);
    if (newestFirst.size() > MAX_CRASHES) {
      newestFirst.removeLast();
    }
    return crash.toMessage(nowMs);
  }

  /** Returns the messages for an owner that had no session when the crashes were reported. */
  List<WorkerCrashed> recent(long nowMs) {
    removeExpired(nowMs);
    return newestFirst.stream().map(crash -> crash.toMessage(nowMs)).toList();
  }

  private void removeExpired(long nowMs) {
    newestFirst.removeIf(crash -> nowMs - crash.crashedAtMs() >= RETENTION_MS);
  }
}
