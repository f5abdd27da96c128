package io.hingehoist.run.owner;

import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.WaitingRow;
import java.util.List;

/**
 * The last report of waiting tasks that an owner sent to its hosts. A new report is sent when the
 * waiting tasks have changed, at a minimum interval that grows with the number of hosts. Not
 * thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class WaitingReport {
  private static final long MIN_INTERVAL_MS = 10;

  /**
   * The divisor that turns the square of the number of hosts into the interval in milliseconds: 10
   * ms for 11 hosts, 48 ms for 24. The interval grows with the square as each owner sends its
   * reports to each host.
   */
  private static final long HOSTS_SQUARED_PER_MS = 12;

  private List<WaitingRow> reported = List.of();
  private long reportedAtMs = -MIN_INTERVAL_MS;

  /** Returns whether the minimum interval since the last report has passed. */
  boolean isDue(int hostCount, long nowMs) {
    return nowMs - reportedAtMs
        >= Math.max(MIN_INTERVAL_MS, (long) hostCount * hostCount / HOSTS_SQUARED_PER_MS);
  }

  /** Replaces the last report if the waiting tasks have changed; returns whether they have. */
  boolean updateIfChanged(List<WaitingRow> rows, long nowMs) {
    if (isSame(rows, reported)) {
      return false;
    }
    reported = List.copyOf(rows);
    reportedAtMs = nowMs;
    return true;
  }

  /** Returns the last report. */
  OwnerWaiting last() {
    return new OwnerWaiting(reported);
  }

  /** Compares without the waiting times, which change constantly. */
  private static boolean isSame(List<WaitingRow> a, List<WaitingRow> b) {
    if (a.size() != b.size()) {
      return false;
    }
    for (int i = 0; i < a.size(); i++) {
      WaitingRow x = a.get(i);
      WaitingRow y = b.get(i);
      boolean same =
          x.service().equals(y.service()) && x.rank() == y.rank() && x.taskCount() == y.taskCount();
      if (!same) {
        return false;
      }
    }
    return true;
  }
}
