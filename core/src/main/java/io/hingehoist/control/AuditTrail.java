package io.hingehoist.control;

import io.hingehoist.state.AuditRow;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The latest changes of settings, members and availability zones, oldest first. Not thread-safe:
 * confined to the control thread.
 */
final class AuditTrail {
  private static final int MAX_ROWS = 10_000;

  private final Deque<AuditRow> rows = new ArrayDeque<>();
  private long sequence;

  void restore(AuditRow row) {
    rows.add(row);
    sequence = Math.max(sequence, row.sequence());
  }

  /** Records a change of the state of a member. */
  void addMemberChange(
      long atMs, String actor, String action, String member, String before, String after) {
    add(new AuditRow(++sequence, atMs, actor, action, member, "", 0, before, after, true, ""));
  }

  /** Records that an availability zone was evacuated or restored. */
  void addZoneChange(long atMs, io.hingehoist.command.ChangeZone command, long version) {
    String before = command.evacuated() ? "open" : "evacuated";
    String after = command.evacuated() ? "evacuated" : "open";
    String action = command.evacuated() ? "evacuateZone" : "restoreZone";
    add(
        new AuditRow(
            ++sequence,
            atMs,
            command.actor(),
            action,
            command.zone(),
            "",
            version,
            before,
            after,
            true,
            ""));
  }

  /** Records a change of settings, accepted or refused. */
  void addSettingsChange(
      long atMs,
      io.hingehoist.command.ChangeSettings change,
      long revision,
      String before,
      boolean accepted,
      String reason) {
    add(
        new AuditRow(
            ++sequence,
            atMs,
            change.operator(),
            "settings",
            change.path() + " " + change.key(),
            change.changeId(),
            revision,
            before,
            change.value().orElse("(inherit)"),
            accepted,
            reason));
  }

  private void add(AuditRow row) {
    rows.add(row);
    if (rows.size() > MAX_ROWS) {
      rows.removeFirst();
    }
  }

  List<AuditRow> rows() {
    return List.copyOf(rows);
  }
}
