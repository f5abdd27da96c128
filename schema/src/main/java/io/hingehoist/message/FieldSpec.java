package io.hingehoist.message;

import java.util.List;

/**
 * The schema's description of one field of settings: its type, default and allowed range.
 *
 * @param name the name, with its unit as a suffix
 * @param type one of {@code long}, {@code int}, {@code double}, {@code boolean}, {@code string},
 *     {@code array} of strings
 * @param defaultValue the value that applies where none is set; {@code !} for a required field
 * @param range {@code min..max} for numbers, {@code a|b|c} for a choice, otherwise the name of a
 *     format: {@code name}, {@code ip:port}, {@code http url}, {@code path} or {@code text}
 * @param doc what the field does
 */
public record FieldSpec(String name, String type, String defaultValue, String range, String doc) {
  private static final String REQUIRED = "!";

  /** Returns the spec of a field. */
  public static FieldSpec of(
      String name, String type, String defaultValue, String range, String doc) {
    return new FieldSpec(name, type, defaultValue, range, doc);
  }

  /** Returns whether the field has no default and must be set. */
  public boolean isRequired() {
    return defaultValue.equals(REQUIRED);
  }

  /** Returns the items of a comma-separated list; none for the empty text. */
  public static List<String> list(String joined) {
    return joined.isEmpty() ? List.of() : List.of(joined.split(","));
  }
}
