package io.hingehoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Formats a JSON array of objects as a text table. */
final class Table {
  private final List<String> columns;
  private final List<List<String>> rows = new ArrayList<>();

  private Table(List<String> columns) {
    this.columns = List.copyOf(columns);
  }

  /**
   * Returns a table with one row for each object of an array and one column for each field name.
   */
  static Table of(JsonNode array, String... columns) {
    Table table = new Table(List.of(columns));
    for (JsonNode object : array) {
      table.rows.add(table.columns.stream().map(c -> object.path(c).asText()).toList());
    }
    return table;
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    appendRow(text, columns);
    rows.forEach(row -> appendRow(text, row));
    return text.toString();
  }

  private void appendRow(StringBuilder text, List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < row.size(); column++) {
      String cell = row.get(column);
      line.append(cell).append(" ".repeat(width(column) - cell.length() + 2));
    }
    text.append(line.toString().stripTrailing()).append(System.lineSeparator());
  }

  private int width(int column) {
    int widest = columns.get(column).length();
    for (List<String> row : rows) {
      widest = Math.max(widest, row.get(column).length());
    }
    return widest;
  }
}
