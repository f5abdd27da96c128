package io.hingehoist.run.host;

import io.hingehoist.message.WorkerRow;
import java.util.List;

/**
 * Limits how often changed worker rows are sent to owners. Not thread-safe: confined to the
 * event-loop thread.
 */
final class RowUpdateThrottle {
  private static final long MIN_PAUSE_MS = 60;

  /**
   * The pause per owner, so that a host sends its worker rows at most fifty times a second in
   * total.
   */
  private static final long PAUSE_PER_OWNER_MS = 20;

  /** The owners that are to receive the rows now. */
  enum Recipients {
    NONE,
    FOLLOWERS,
    ALL
  }

  private List<WorkerRow> sentRows = List.of();
  private long rowsSentAtMs;

  /**
   * Returns the owners that are to receive the rows, and records that they were sent. Changes that
   * are not urgent are delayed briefly, so that several are sent together, and go only to owners
   * that follow this host; the other owners receive them with their next heartbeat.
   */
  Recipients recipients(List<WorkerRow> rows, int ownerCount, long nowMs) {
    if (rows.equals(sentRows)) {
      return Recipients.NONE;
    }
    boolean urgent = isUrgent(rows);
    long pauseMs = Math.max(MIN_PAUSE_MS, ownerCount * PAUSE_PER_OWNER_MS);
    if (!urgent && nowMs - rowsSentAtMs < pauseMs) {
      return Recipients.NONE;
    }
    sentRows = rows;
    rowsSentAtMs = nowMs;
    return urgent ? Recipients.ALL : Recipients.FOLLOWERS;
  }

  /**
   * Returns whether a worker was added, removed or changed its state: owners must stop using a
   * worker that refuses runs, and wait for one that accepts them.
   */
  private boolean isUrgent(List<WorkerRow> rows) {
    if (rows.size() != sentRows.size()) {
      return true;
    }
    for (int i = 0; i < rows.size(); i++) {
      WorkerRow previous = sentRows.get(i);
      WorkerRow row = rows.get(i);
      if (row.state() != previous.state() || !row.workerId().equals(previous.workerId())) {
        return true;
      }
    }
    return false;
  }
}
