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

/** The settings tree with its revisions and answered changes. Owned by {@link ControlState}. */
final class SettingsTable {
  /** Changes kept for others to catch up by; one further behind gets the whole tree. */
  private static final int MAX_REVISIONS = 1_024;

  /** Answers kept for resends; an older resend is refused for its stale base. */
  private static final int MAX_ANSWERED = 20_000;

  private final AuditTrail audit;
  private final Deque<RevisionRow> revisions = new ArrayDeque<>();
  private final Map<String, AnsweredChangeRow> answered = new LinkedHashMap<>();
  private SettingsTree tree = SettingsTree.empty();

  SettingsTable(AuditTrail audit) {
    this.audit = audit;
  }

  SettingsTree tree() {
    return tree;
  }

  CommandResult apply(ChangeSettings change, long nowMs) {
    Bytes content = contentOf(change);
    AnsweredChangeRow earlier = answered.get(change.changeId());
    if (earlier != null && earlier.content().equals(content)) {
      return new SettingsAccepted(earlier.revision());
    }
    String before =
        SettingsPath.parse(change.path())
            .flatMap(path -> tree.override(path, change.key()))
            .orElse("(inherit)");
    Optional<SettingsRefused> refusal = refusalOf(change, earlier != null);
    if (refusal.isPresent()) {
      audit.addSettingsChange(
          nowMs, change, tree.revision(), before, false, refusal.get().detail());
      return refusal.get();
    }
    accept(change, content, nowMs);
    audit.addSettingsChange(nowMs, change, tree.revision(), before, true, "");
    return new SettingsAccepted(tree.revision());
  }

  private Optional<SettingsRefused> refusalOf(ChangeSettings change, boolean idTaken) {
    if (idTaken) {
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
    answered.put(
        change.changeId(), new AnsweredChangeRow(change.changeId(), content, revision, nowMs));
    if (answered.size() > MAX_ANSWERED) {
      answered.remove(answered.keySet().iterator().next());
    }
  }

  /** The whole request counts: a resend is the same in every field. */
  private static Bytes contentOf(ChangeSettings change) {
    return change.toBytes();
  }

  /** Returns what brings a holder of a revision up to date; empty if it is. */
  Optional<SettingsUpdate> updateSince(long revision) {
    if (revision == tree.revision()) {
      return Optional.empty();
    }
    boolean covered =
        revision < tree.revision()
            && !revisions.isEmpty()
            && revisions.getFirst().revision() <= revision + 1;
    if (!covered) {
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
    answered.values().forEach(out);
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
    answered.put(row.changeId(), row);
  }
}
