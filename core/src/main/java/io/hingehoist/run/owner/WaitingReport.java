package io.hingehoist.run.owner;

import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.WaitingRow;
import java.util.List;

/**
 * What an owner has told its hosts of the tasks that wait. Hosts are told again when that has
 * changed, with a pause that grows with their number. Owned by {@link JobOwner}.
 */
final class WaitingReport {
  private static final long MIN_PAUSE_MS = 10;

  /**
   * The pause grows with the square of the number of hosts, as each owner tells each of them: 10 ms
   * for 11 hosts, 48 for 24.
   */
  private static final long HOSTS_SQUARED_PER_MS = 12;

  private List<WaitingRow> told = List.of();
  private long toldAtMs = -MIN_PAUSE_MS;

  /** Returns whether the pause since hosts were told last is over. */
  boolean isRested(int hostCount, long nowMs) {
    return nowMs - toldAtMs
        >= Math.max(MIN_PAUSE_MS, (long) hostCount * hostCount / HOSTS_SQUARED_PER_MS);
  }

  /** Returns whether hosts are to be told, and takes it that they are. */
  boolean isNews(List<WaitingRow> rows, long nowMs) {
    if (isSame(rows, told)) {
      return false;
    }
    told = List.copyOf(rows);
    toldAtMs = nowMs;
    return true;
  }

  /** Returns what hosts were told last. */
  OwnerWaiting last() {
    return new OwnerWaiting(told);
  }

  /** The time that the oldest has waited changes always, and alone is no news. */
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
