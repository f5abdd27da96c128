package io.hingehoist.control;

import io.hingehoist.command.CommandResult;
import io.hingehoist.command.DocumentAccepted;
import io.hingehoist.command.DocumentConflict;
import io.hingehoist.command.PublishDocument;
import io.hingehoist.state.DocumentRow;
import io.hingehoist.state.StateRow;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Named documents with versions that their publishers choose: of each, the highest version holds.
 * Owned by {@link ControlState}.
 */
final class DocumentTable {
  private final Map<String, DocumentRow> documents = new TreeMap<>();

  /**
   * Takes a version in if it is above the one that is held. A lower one is acknowledged and changes
   * nothing; the held one with another content is a conflict.
   */
  CommandResult apply(PublishDocument command) {
    DocumentRow held = documents.get(command.name());
    if (held == null || command.version() > held.version()) {
      documents.put(
          command.name(), new DocumentRow(command.name(), command.version(), command.content()));
      return new DocumentAccepted(command.version());
    }
    boolean conflicts =
        command.version() == held.version() && !command.content().equals(held.content());
    return conflicts ? new DocumentConflict(held.version()) : new DocumentAccepted(held.version());
  }

  Optional<DocumentRow> find(String name) {
    return Optional.ofNullable(documents.get(name));
  }

  Collection<DocumentRow> rows() {
    return List.copyOf(documents.values());
  }

  void writeTo(Consumer<StateRow> out) {
    documents.values().forEach(out);
  }

  void restore(DocumentRow row) {
    documents.put(row.name(), row);
  }
}
