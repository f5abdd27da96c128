package io.hingehoist.run;

import io.hingehoist.message.WorkerRow;
import java.util.List;

/**
 * What a host showed of its workers to every owner, and whether it is time to show them again.
 * Owned by {@link WorkerHost}.
 */
final class ShownRows {
  private static final long PAUSE_MS = 60;

  private List<WorkerRow> shown = List.of();
  private long shownAtMs;

  /**
   * Returns whether rows are to be shown to all, and takes it that they are. What owners don't wait
   * for is put off for a moment, so that several changes go out together.
   */
  boolean isDue(List<WorkerRow> rows, long nowMs) {
    boolean changed = !rows.equals(shown);
    if (!changed || (nowMs - shownAtMs < PAUSE_MS && !isUrgent(rows))) {
      return false;
    }
    shown = rows;
    shownAtMs = nowMs;
    return true;
  }

  /** Owners must not use a worker that takes nothing, and wait for one that does. */
  private boolean isUrgent(List<WorkerRow> rows) {
    if (rows.size() != shown.size()) {
      return true;
    }
    for (int i = 0; i < rows.size(); i++) {
      WorkerRow before = shown.get(i);
      WorkerRow row = rows.get(i);
      if (row.state() != before.state() || !row.workerId().equals(before.workerId())) {
        return true;
      }
    }
    return false;
  }
}
