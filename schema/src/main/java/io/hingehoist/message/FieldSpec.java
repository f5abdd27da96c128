package io.hingehoist.message;

import java.util.List;

/**
 * The schema's description of one field of settings: its type, default and allowed range.
 *
 * @param name the name, with its unit as a suffix
 * @param type one of {@code long}, {@code int}, {@code double}, {@code boolean}, {@code string},
 *     {@code array} of strings
 * @param defaultValue the value in force where none is set
 * @param range {@code min..max} for numbers, {@code a|b|c} for a choice, empty for any text
 * @param doc what the field does
 */
public record FieldSpec(String name, String type, String defaultValue, String range, String doc) {
  private static final String REQUIRED = "!";

  /** Returns a description. */
  public static FieldSpec of(
      String name, String type, String defaultValue, String range, String doc) {
    return new FieldSpec(name, type, defaultValue, range, doc);
  }

  /** Returns whether the field has no default and must be given. */
  public boolean isRequired() {
    return defaultValue.equals(REQUIRED);
  }

  /** Returns the items of a list that is written with commas; empty for the empty text. */
  public static List<String> list(String joined) {
    return joined.isEmpty() ? List.of() : List.of(joined.split(","));
  }
}
