package io.hingehoist.run.owner;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last run numbers of the tasks of recently ended jobs. If such a job is submitted again, its
 * tasks continue these numbers: a host may still report on a former run, and a worker refuses a
 * number that it has seen. Holds a bounded number of tasks. Not thread-safe: confined to the thread
 * of its {@link JobOwner}.
 */
final class FormerRunNumbers {
  private static final int MAX_TASKS = 16_384;

  private final Map<String, Long> lastNumbers =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_TASKS;
        }
      };

  /** Records the number of the last ordered run of a task whose job has ended. */
  void record(OwnedTask task) {
    long number = task.run().number();
    if (number > 0) {
      lastNumbers.remove(task.name());
      lastNumbers.put(task.name(), number);
    }
  }

  /** Returns the last number of a task that was recorded; 0 if there is none. */
  long lastNumberOf(String task) {
    return lastNumbers.getOrDefault(task, 0L);
  }
}
