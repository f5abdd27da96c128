package io.hingehoist.config;

import java.util.List;

/** What came of reading a settings file. */
public sealed interface SettingsResult {

  /** The file is sound. */
  record Valid(DaemonSettings settings) implements SettingsResult {}

  /** The file is not; each problem is one line with file, field, value and allowed range. */
  record Invalid(List<String> problems) implements SettingsResult {}
}
