package io.hingehoist.quorum;

import io.hingehoist.message.FieldSpec;
import io.hingehoist.settings.FieldSpecs;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Static helpers that look up the values of a settings section in tests. */
final class SettingsValues {
  private SettingsValues() {}

  /** Returns a lookup of the given values, and of the defaults for all other fields. */
  static Function<String, String> of(List<FieldSpec> specs, Map<String, String> given) {
    return name ->
        given.getOrDefault(name, FieldSpecs.find(specs, name).orElseThrow().defaultValue());
  }
}
