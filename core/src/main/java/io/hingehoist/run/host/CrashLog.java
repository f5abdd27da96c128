package io.hingehoist.run.host;

import io.hingehoist.message.WorkerCrashed;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;

/**
 * The tasks that were at this host's worker when it crashed, each time, lately. Kept here, the
 * evidence outlives the owners of those tasks. Owned by {@link WorkerHost}.
 */
final class CrashLog {
  /** Far longer than callers bring the same job again. */
  private static final long RETENTION_MS = 60_000;

  private static final int MAX_CRASHES = 16;

  private record Crash(String workerId, long atMs, boolean again, List<String> tasks) {
    private WorkerCrashed toMessage(long nowMs) {
      return new WorkerCrashed(workerId, nowMs - atMs, again, tasks);
    }
  }

  private final Deque<Crash> newestFirst = new ArrayDeque<>();

  /**
   * Notes a crash, and returns what owners are to be told of it.
   *
   * @param atMs when it happened, as far as is known
   */
  WorkerCrashed add(WorkerInstance instance, long atMs, long nowMs) {
    forgetOld(nowMs);
    List<String> tasks = instance.runs().stream().map(run -> run.run.task()).distinct().toList();
    boolean again =
        !newestFirst.isEmpty() && Collections.disjoint(newestFirst.getFirst().tasks(), tasks);
    Crash crash = new Crash(instance.id(), atMs, again, tasks);
    newestFirst.addFirst(crash);
    if (newestFirst.size() > MAX_CRASHES) {
      newestFirst.removeLast();
    }
    return crash.toMessage(nowMs);
  }

  /** Returns what an owner is to be told that was not here to hear it. */
  List<WorkerCrashed> recent(long nowMs) {
    forgetOld(nowMs);
    return newestFirst.stream().map(crash -> crash.toMessage(nowMs)).toList();
  }

  private void forgetOld(long nowMs) {
    newestFirst.removeIf(crash -> nowMs - crash.atMs() >= RETENTION_MS);
  }
}
