package io.hingehoist.settings;

import java.util.List;
import java.util.Optional;

/**
 * A node of the settings tree: the root, a service, a job class of a service, or an availability
 * zone of a job class.
 *
 * @param segments the names on the path from the root to the node; empty for the root
 */
public record SettingsPath(List<String> segments) {
  private static final int MAX_DEPTH = 3;
  private static final SettingsPath ROOT = new SettingsPath(List.of());

  /** Copies the segments. */
  public SettingsPath {
    segments = List.copyOf(segments);
  }

  /** Returns the root, from which every node inherits. */
  public static SettingsPath root() {
    return ROOT;
  }

  /** Returns the node of a job class of a service in an availability zone. */
  public static SettingsPath of(String service, String jobClass, String zone) {
    return new SettingsPath(List.of(service, jobClass, zone));
  }

  /**
   * Returns the node at a path such as {@code /porting/activation}; empty if the text is not a
   * valid path.
   */
  public static Optional<SettingsPath> parse(String text) {
    if (text.equals("/")) {
      return Optional.of(ROOT);
    }
    if (!text.startsWith("/")) {
      return Optional.empty();
    }
    List<String> names = List.of(text.substring(1).split("/", -1));
    boolean valid = names.size() <= MAX_DEPTH && names.stream().allMatch(FieldSpecs::isName);
    return valid ? Optional.of(new SettingsPath(names)) : Optional.empty();
  }

  /** Returns the node that this one inherits from; empty for the root. */
  public Optional<SettingsPath> parent() {
    if (segments.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new SettingsPath(segments.subList(0, segments.size() - 1)));
  }

  /** Returns the path in the form that {@link #parse} accepts. */
  @Override
  public String toString() {
    return "/" + String.join("/", segments);
  }
}
