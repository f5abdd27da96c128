package io.hingehoist.run.owner;

import io.hingehoist.message.WorkerCrashed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records which tasks were running on workers that crashed, as reported by all hosts.
 *
 * <p>Protects the fleet from tasks that crash each worker that starts them. A task is not started
 * again after two crashes that are attributed to it. A crash is not attributed to the tasks of the
 * worker if other workers crashed at the same time, as in a power failure, or if the worker also
 * crashes repeatedly while it runs other tasks. After a third crash of either kind the task is not
 * started again, which bounds its restarts. Not thread-safe: confined to the thread of its {@link
 * JobOwner}.
 */
final class CrashHistory {
  private static final int MAX_ATTRIBUTED_CRASHES = 2;
  private static final int MAX_CRASHES = 3;

  /** Crashes of this many workers within the window have a common cause, not their tasks. */
  private static final int MIN_CORRELATED_CRASHES = 3;

  private static final long CORRELATION_WINDOW_MS = 500;

  /** Hosts retain crash reports for the same time. */
  private static final long RETENTION_MS = 60_000;

  private record Crash(String workerId, long atMs, boolean repeated) {}

  private final List<Crash> crashes = new ArrayList<>();
  private final Map<String, List<Crash>> byTask = new HashMap<>();

  /** Records a crash that a host reported; a repeated report of one crash has no effect. */
  void add(WorkerCrashed report, long nowMs) {
    removeExpired(nowMs);
    String workerId = report.workerId();
    if (crashes.stream().anyMatch(known -> known.workerId().equals(workerId))) {
      return;
    }
    Crash crash = new Crash(workerId, nowMs - report.agoMs(), report.again());
    crashes.add(crash);
    for (String task : report.tasks()) {
      byTask.computeIfAbsent(task, name -> new ArrayList<>()).add(crash);
    }
  }

  private void removeExpired(long nowMs) {
    Set<Crash> expired = new HashSet<>();
    for (Crash crash : crashes) {
      if (nowMs - crash.atMs() >= RETENTION_MS) {
        expired.add(crash);
      }
    }
    if (!expired.isEmpty()) {
      crashes.removeAll(expired);
      byTask.values().forEach(list -> list.removeAll(expired));
      byTask.values().removeIf(List::isEmpty);
    }
  }

  /**
   * Returns whether a worker crashed while it ran a task, which must then run apart from others.
   */
  boolean isSuspect(String task, long nowMs) {
    return crashCount(task, nowMs) > 0;
  }

  /** Returns whether a task has crashed too many workers to be started again. */
  boolean exceedsCrashLimit(String task, long nowMs) {
    if (crashCount(task, nowMs) >= MAX_CRASHES) {
      return true;
    }
    long attributed =
        byTask.getOrDefault(task, List.of()).stream().filter(this::isAttributedToTasks).count();
    return attributed >= MAX_ATTRIBUTED_CRASHES;
  }

  /** Returns the number of workers that crashed while they ran a task. */
  int crashCount(String task, long nowMs) {
    if (crashes.isEmpty()) {
      return 0;
    }
    removeExpired(nowMs);
    return byTask.getOrDefault(task, List.of()).size();
  }

  private boolean isAttributedToTasks(Crash crash) {
    long correlated =
        crashes.stream()
            .filter(other -> Math.abs(other.atMs() - crash.atMs()) <= CORRELATION_WINDOW_MS)
            .count();
    return !crash.repeated() && correlated < MIN_CORRELATED_CRASHES;
  }
}
