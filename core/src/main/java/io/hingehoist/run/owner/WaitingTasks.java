package io.hingehoist.run.owner;

import io.hingehoist.message.WaitingRow;
import io.hingehoist.run.load.Lateness;
import io.hingehoist.run.load.WaitingOrder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The tasks that wait for room: by priority, and first come first served within one. Those of jobs
 * whose answer will be late in any case go behind all that can be in time. Owned by {@link
 * JobOwner}.
 */
final class WaitingTasks {
  private static final int MAX_MISSES_IN_A_PASS = 64;
  private static final int MAX_COUNTED = 64;

  /** Added to the priority of what can't be in time: any that can goes before it. */
  private static final int LATE_RANK = 1_000;

  private final TreeSet<OwnedTask> inTime = new TreeSet<>(WaitingOrder::compare);
  private final TreeSet<OwnedTask> late = new TreeSet<>(WaitingOrder::compare);

  void add(OwnedTask task) {
    inTime.add(task);
  }

  void addAll(List<OwnedTask> tasks) {
    inTime.addAll(tasks);
  }

  void remove(OwnedTask task) {
    inTime.remove(task);
    late.remove(task);
  }

  int size() {
    return inTime.size() + late.size();
  }

  /**
   * Returns what waits, a row for each service that some of the first tasks wait for: how urgent
   * the first of them is, and how many like it follow.
   */
  List<WaitingRow> rows(long nowMs) {
    Map<String, First> byService = new LinkedHashMap<>();
    count(inTime, 0, byService, nowMs);
    count(late, LATE_RANK, byService, nowMs);
    List<WaitingRow> rows = new ArrayList<>();
    byService.forEach(
        (service, first) ->
            rows.add(new WaitingRow(service, first.rank, first.waitedMs, first.taskCount)));
    return rows;
  }

  /** The first task that waits for a service, and how many as urgent as it have been seen. */
  private static final class First {
    private final int rank;
    private final long waitedMs;
    private int taskCount;

    private First(int rank, long waitedMs) {
      this.rank = rank;
      this.waitedMs = waitedMs;
    }
  }

  private static void count(
      TreeSet<OwnedTask> tasks, int rankAdded, Map<String, First> byService, long nowMs) {
    int seen = 0;
    for (OwnedTask task : tasks) {
      if (++seen > MAX_COUNTED) {
        return;
      }
      int rank = task.job().plan().priority() + rankAdded;
      First first = byService.get(task.job().plan().service());
      if (first == null) {
        first = new First(rank, task.job().waitedMs(nowMs));
        byService.put(task.job().plan().service(), first);
      }
      if (first.rank == rank) {
        first.taskCount++;
      }
    }
  }

  /**
   * Puts tasks behind that can't be in time any more.
   *
   * @param expectedMs the time that a task is expected to run
   */
  void putLateBehind(ToDoubleFunction<OwnedTask> expectedMs, long nowMs) {
    for (OwnedTask task : List.copyOf(inTime)) {
      OwnedJob job = task.job();
      double runMs = expectedMs.applyAsDouble(task);
      if (Lateness.isLate(job.mayHaveStarted(), runMs, job.objectiveAtMs(), nowMs)) {
        inTime.remove(task);
        late.add(task);
      }
    }
  }

  /**
   * Offers tasks in their order, and removes those that are taken.
   *
   * @param taker gets the tasks that can be in time
   * @param lateTaker gets those that can't, after the others
   */
  void offer(Predicate<OwnedTask> taker, Predicate<OwnedTask> lateTaker) {
    offer(inTime, taker);
    offer(late, lateTaker);
  }

  private static void offer(TreeSet<OwnedTask> waiting, Predicate<OwnedTask> taker) {
    List<OwnedTask> taken = new ArrayList<>();
    int misses = 0;
    for (OwnedTask task : waiting) {
      if (taker.test(task)) {
        taken.add(task);
      } else if (++misses >= MAX_MISSES_IN_A_PASS) {
        break;
      }
    }
    taken.forEach(waiting::remove);
  }
}
