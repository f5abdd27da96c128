package io.hingehoist.run.host;

import io.hingehoist.message.WorkerRow;
import java.util.List;

/**
 * What a host showed of its workers to every owner, and whether it is time to show them again.
 * Owned by {@link WorkerHost}.
 */
final class RowUpdateThrottle {
  private static final long MIN_PAUSE_MS = 60;

  /**
   * The pause for each owner, so that a host shows its workers at most fifty times a second in all.
   */
  private static final long PAUSE_PER_OWNER_MS = 20;

  /** To whom rows are to be shown now. */
  enum Recipients {
    NONE,
    FOLLOWERS,
    ALL
  }

  private List<WorkerRow> shown = List.of();
  private long rowsSentAtMs;

  /**
   * Returns to whom rows are to be shown, and takes it that they are. What owners don't wait for is
   * put off for a moment, so that several changes go out together, and goes only to owners that
   * follow this host; the others hear of it with their next heartbeat.
   */
  Recipients recipients(List<WorkerRow> rows, int ownerCount, long nowMs) {
    if (rows.equals(shown)) {
      return Recipients.NONE;
    }
    boolean urgent = isUrgent(rows);
    long pauseMs = Math.max(MIN_PAUSE_MS, ownerCount * PAUSE_PER_OWNER_MS);
    if (!urgent && nowMs - rowsSentAtMs < pauseMs) {
      return Recipients.NONE;
    }
    shown = rows;
    rowsSentAtMs = nowMs;
    return urgent ? Recipients.ALL : Recipients.FOLLOWERS;
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
