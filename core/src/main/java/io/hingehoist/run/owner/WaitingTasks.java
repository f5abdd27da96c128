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
 * The queue of tasks that wait for room, ordered by priority and within a priority by arrival.
 * Tasks that can no longer be in time come after all others. Not thread-safe: confined to the
 * thread of its {@link JobOwner}.
 */
final class WaitingTasks {
  private static final int MAX_REJECTIONS_PER_PASS = 64;
  private static final int MAX_COUNTED_TASKS = 64;

  /** Added to the priority of late tasks, so that every other task precedes them. */
  private static final int LATE_RANK_OFFSET = 1_000;

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
   * Returns a summary of the first waiting tasks, with a row for each of their services: the rank
   * of the service's most urgent task, how long its job has waited, and the number of tasks of that
   * rank.
   */
  List<WaitingRow> rows(long nowMs) {
    Map<String, ServiceHead> byService = new LinkedHashMap<>();
    count(inTime, 0, byService, nowMs);
    count(late, LATE_RANK_OFFSET, byService, nowMs);
    List<WaitingRow> rows = new ArrayList<>();
    byService.forEach(
        (service, head) ->
            rows.add(new WaitingRow(service, head.rank, head.waitedMs, head.taskCount)));
    return rows;
  }

  /** The most urgent task of a service, and the number of counted tasks of the same rank. */
  private static final class ServiceHead {
    private final int rank;
    private final long waitedMs;
    private int taskCount;

    private ServiceHead(int rank, long waitedMs) {
      this.rank = rank;
      this.waitedMs = waitedMs;
    }
  }

  private static void count(
      TreeSet<OwnedTask> tasks, int rankOffset, Map<String, ServiceHead> byService, long nowMs) {
    int counted = 0;
    for (OwnedTask task : tasks) {
      if (++counted > MAX_COUNTED_TASKS) {
        return;
      }
      int rank = task.job().plan().priority() + rankOffset;
      ServiceHead head = byService.get(task.job().plan().service());
      if (head == null) {
        head = new ServiceHead(rank, task.job().waitedMs(nowMs));
        byService.put(task.job().plan().service(), head);
      }
      if (head.rank == rank) {
        head.taskCount++;
      }
    }
  }

  /**
   * Moves tasks that can no longer be in time behind all others.
   *
   * @param expectedMs returns the expected run time of a task
   */
  void demoteLate(ToDoubleFunction<OwnedTask> expectedMs, long nowMs) {
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
   * Offers the tasks for placement in their order, and removes those that were placed.
   *
   * @param placer receives the tasks that can be in time, and returns whether it placed them
   * @param latePlacer receives the late tasks after these, likewise
   */
  void offer(Predicate<OwnedTask> placer, Predicate<OwnedTask> latePlacer) {
    offer(inTime, placer);
    offer(late, latePlacer);
  }

  private static void offer(TreeSet<OwnedTask> waiting, Predicate<OwnedTask> placer) {
    List<OwnedTask> placed = new ArrayList<>();
    int rejections = 0;
    for (OwnedTask task : waiting) {
      if (placer.test(task)) {
        placed.add(task);
      } else if (++rejections >= MAX_REJECTIONS_PER_PASS) {
        break;
      }
    }
    placed.forEach(waiting::remove);
  }
}
