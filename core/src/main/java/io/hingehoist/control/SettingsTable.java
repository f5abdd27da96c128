package io.hingehoist.control;

import io.hingehoist.command.ChangeSettings;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.SettingsAccepted;
import io.hingehoist.command.SettingsRefusalReason;
import io.hingehoist.command.SettingsRefused;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.SettingEntry;
import io.hingehoist.message.SettingsUpdate;
import io.hingehoist.settings.SettingsPath;
import io.hingehoist.settings.SettingsTree;
import io.hingehoist.state.AnsweredChangeRow;
import io.hingehoist.state.RevisionRow;
import io.hingehoist.state.SettingRow;
import io.hingehoist.state.StateRow;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The settings tree, its latest revisions, and the answered changes. Not thread-safe: confined to
 * the control thread.
 */
final class SettingsTable {
  /**
   * The number of changes kept for incremental updates; a process further behind receives the whole
   * tree.
   */
  private static final int MAX_REVISIONS = 1_024;

  /**
   * The number of answers kept for repeated requests; an older repeat is refused because of its
   * stale base revision.
   */
  private static final int MAX_ANSWERED_CHANGES = 20_000;

  private final AuditTrail audit;
  private final Deque<RevisionRow> revisions = new ArrayDeque<>();
  private final Map<String, AnsweredChangeRow> answeredChanges = new LinkedHashMap<>();
  private SettingsTree tree = SettingsTree.empty();

  SettingsTable(AuditTrail audit) {
    this.audit = audit;
  }

  SettingsTree tree() {
    return tree;
  }

  CommandResult apply(ChangeSettings change, long nowMs) {
    Bytes content = contentOf(change);
    AnsweredChangeRow earlier = answeredChanges.get(change.changeId());
    if (earlier != null && earlier.content().equals(content)) {
      return new SettingsAccepted(earlier.revision());
    }
    String before =
        SettingsPath.parse(change.path())
            .flatMap(path -> tree.override(path, change.key()))
            .orElse("(inherit)");
    Optional<SettingsRefused> refusal = checkChange(change, earlier != null);
    if (refusal.isPresent()) {
      audit.addSettingsChange(
          nowMs, change, tree.revision(), before, false, refusal.get().detail());
      return refusal.get();
    }
    accept(change, content, nowMs);
    audit.addSettingsChange(nowMs, change, tree.revision(), before, true, "");
    return new SettingsAccepted(tree.revision());
  }

  private Optional<SettingsRefused> checkChange(ChangeSettings change, boolean changeIdUsed) {
    if (changeIdUsed) {
      return refused(
          SettingsRefusalReason.CHANGE_ID_CONFLICT,
          "changeId: value \"%s\" was used for another change; allowed: an unused id"
              .formatted(change.changeId()));
    }
    Optional<String> problem = SettingsTree.validate(change.path(), change.key(), change.value());
    if (problem.isPresent()) {
      return refused(SettingsRefusalReason.INVALID, problem.get());
    }
    if (change.baseRevision() != tree.revision()) {
      return refused(
          SettingsRefusalReason.STALE_BASE,
          "baseRevision: value %d is not allowed; allowed: %d, the current revision"
              .formatted(change.baseRevision(), tree.revision()));
    }
    return Optional.empty();
  }

  private Optional<SettingsRefused> refused(SettingsRefusalReason reason, String detail) {
    return Optional.of(new SettingsRefused(reason, tree.revision(), detail));
  }

  private void accept(ChangeSettings change, Bytes content, long nowMs) {
    long revision = tree.revision() + 1;
    SettingEntry entry = new SettingEntry(change.path(), change.key(), change.value());
    tree = tree.with(revision, List.of(entry));
    revisions.add(new RevisionRow(revision, entry));
    if (revisions.size() > MAX_REVISIONS) {
      revisions.removeFirst();
    }
    answeredChanges.put(
        change.changeId(), new AnsweredChangeRow(change.changeId(), content, revision, nowMs));
    if (answeredChanges.size() > MAX_ANSWERED_CHANGES) {
      answeredChanges.remove(answeredChanges.keySet().iterator().next());
    }
  }

  /**
   * Returns the content by which a repeated request is recognized: it is the same in every field.
   */
  private static Bytes contentOf(ChangeSettings change) {
    return change.toBytes();
  }

  /** Returns the update from a revision to the current one; empty if the revision is current. */
  Optional<SettingsUpdate> updateSince(long revision) {
    if (revision == tree.revision()) {
      return Optional.empty();
    }
    boolean historyCovers =
        revision < tree.revision()
            && !revisions.isEmpty()
            && revisions.getFirst().revision() <= revision + 1;
    if (!historyCovers) {
      return Optional.of(new SettingsUpdate(tree.revision(), true, tree.toEntries()));
    }
    List<SettingEntry> changes = new ArrayList<>();
    for (RevisionRow row : revisions) {
      if (row.revision() > revision) {
        changes.add(row.entry());
      }
    }
    return Optional.of(new SettingsUpdate(tree.revision(), false, changes));
  }

  void writeTo(Consumer<StateRow> out) {
    tree.toEntries()
        .forEach(e -> out.accept(new SettingRow(e.path(), e.key(), e.value().orElseThrow())));
    revisions.forEach(out);
    answeredChanges.values().forEach(out);
  }

  void restoreRevision(long revision) {
    tree = tree.with(revision, List.of());
  }

  void restore(SettingRow row) {
    SettingEntry entry = new SettingEntry(row.path(), row.key(), Optional.of(row.value()));
    tree = tree.with(tree.revision(), List.of(entry));
  }

  void restore(RevisionRow row) {
    revisions.add(row);
  }

  void restore(AnsweredChangeRow row) {
    answeredChanges.put(row.changeId(), row);
  }
}
