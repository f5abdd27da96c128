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
 * The highest version of each named document; publishers choose the version numbers. Not
 * thread-safe: confined to the control thread.
 */
final class DocumentTable {
  private final Map<String, DocumentRow> documents = new TreeMap<>();

  /**
   * Stores a version that is higher than the current one. A lower version is acknowledged without a
   * change; the current version with different content is a conflict.
   */
  CommandResult apply(PublishDocument command) {
    DocumentRow current = documents.get(command.name());
    if (current == null || command.version() > current.version()) {
      documents.put(
          command.name(), new DocumentRow(command.name(), command.version(), command.content()));
      return new DocumentAccepted(command.version());
    }
    boolean conflicts =
        command.version() == current.version() && !command.content().equals(current.content());
    return conflicts
        ? new DocumentConflict(current.version())
        : new DocumentAccepted(current.version());
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
