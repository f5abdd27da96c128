package io.hingehoist.run.owner;

import io.hingehoist.message.WorkerCrashed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which tasks were at workers that crashed, as all hosts tell it.
 *
 * <p>The load that it answers: tasks that crash each worker that starts them. A task is given up
 * after two crashes that speak against it. A crash does not speak against its tasks where other
 * workers went in the same moment, as in a loss of power, or where the worker crashes again and
 * again under other tasks; after a third crash a task is given up in any case, so that none is
 * started without end. Owned by {@link JobOwner}.
 */
final class CrashEvidence {
  private static final int CLEAR_CRASHES = 2;
  private static final int CRASHES_IN_ANY_CASE = 3;

  /** So many workers in so short a time did not go for their tasks. */
  private static final int MANY_WORKERS = 3;

  private static final long SAME_MOMENT_MS = 500;

  /** As long as hosts keep it. */
  private static final long KEPT_MS = 60_000;

  private record Crash(String workerId, long atMs, boolean again) {}

  private final List<Crash> crashes = new ArrayList<>();
  private final Map<String, List<Crash>> byTask = new HashMap<>();

  /** Takes a host's word of a crash; a crash that is known changes nothing. */
  void note(WorkerCrashed news, long nowMs) {
    forgetOld(nowMs);
    String workerId = news.workerId();
    if (crashes.stream().anyMatch(known -> known.workerId().equals(workerId))) {
      return;
    }
    Crash crash = new Crash(workerId, nowMs - news.agoMs(), news.again());
    crashes.add(crash);
    for (String task : news.tasks()) {
      byTask.computeIfAbsent(task, name -> new ArrayList<>()).add(crash);
    }
  }

  private void forgetOld(long nowMs) {
    Set<Crash> old = new HashSet<>();
    for (Crash crash : crashes) {
      if (nowMs - crash.atMs() >= KEPT_MS) {
        old.add(crash);
      }
    }
    if (!old.isEmpty()) {
      crashes.removeAll(old);
      byTask.values().forEach(list -> list.removeAll(old));
      byTask.values().removeIf(List::isEmpty);
    }
  }

  /** Returns whether a worker crashed under a task, so that it is to be tried apart from others. */
  boolean isSuspect(String task, long nowMs) {
    return countOf(task, nowMs) > 0;
  }

  /** Returns whether a task is not to be started any more. */
  boolean isGivenUp(String task, long nowMs) {
    if (countOf(task, nowMs) >= CRASHES_IN_ANY_CASE) {
      return true;
    }
    long clear = byTask.getOrDefault(task, List.of()).stream().filter(this::isClear).count();
    return clear >= CLEAR_CRASHES;
  }

  /** Returns the number of workers that crashed under a task. */
  int countOf(String task, long nowMs) {
    if (crashes.isEmpty()) {
      return 0;
    }
    forgetOld(nowMs);
    return byTask.getOrDefault(task, List.of()).size();
  }

  private boolean isClear(Crash crash) {
    long together =
        crashes.stream()
            .filter(other -> Math.abs(other.atMs() - crash.atMs()) <= SAME_MOMENT_MS)
            .count();
    return !crash.again() && together < MANY_WORKERS;
  }
}
