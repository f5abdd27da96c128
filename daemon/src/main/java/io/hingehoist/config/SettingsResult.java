package io.hingehoist.config;

import java.util.List;

/** The result of reading a settings file. */
public sealed interface SettingsResult {

  /** The file is valid. */
  record Valid(DaemonSettings settings) implements SettingsResult {}

  /** The file is invalid. Each problem is one line with file, field, value and allowed range. */
  record Invalid(List<String> problems) implements SettingsResult {}
}
