package io.hingehoist.settings;

import io.hingehoist.message.FieldSpec;
import io.hingehoist.message.SettingEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The overridden values of the settings tree at one revision. Immutable and thread-safe.
 *
 * <p>A lookup costs one map access a level, four at most.
 */
public final class SettingsTree {
  private static final SettingsTree EMPTY = new SettingsTree(0, new TreeMap<>());

  private final long revision;
  private final Map<String, Map<String, String>> overrides;

  private SettingsTree(long revision, Map<String, Map<String, String>> overrides) {
    this.revision = revision;
    this.overrides = overrides;
  }

  /** A value in force, and the node that it comes from; {@code default} where none overrides it. */
  public record EffectiveValue(String key, String value, String source) {}

  /** Returns the tree without any override, at revision 0. */
  public static SettingsTree empty() {
    return EMPTY;
  }

  /** Returns the revision. */
  public long revision() {
    return revision;
  }

  /** Returns this tree with changes, at another revision. */
  public SettingsTree with(long newRevision, List<SettingEntry> changes) {
    Map<String, Map<String, String>> copy = new TreeMap<>(overrides);
    for (SettingEntry change : changes) {
      Map<String, String> node = new TreeMap<>(copy.getOrDefault(change.path(), Map.of()));
      if (change.value().isPresent()) {
        node.put(change.key(), change.value().get());
      } else {
        node.remove(change.key());
      }
      if (node.isEmpty()) {
        copy.remove(change.path());
      } else {
        copy.put(change.path(), node);
      }
    }
    return new SettingsTree(newRevision, copy);
  }

  /** Returns the value that a node itself overrides. */
  public Optional<String> override(SettingsPath path, String key) {
    return Optional.ofNullable(overrides.getOrDefault(path.toString(), Map.of()).get(key));
  }

  /** Returns the value in force at a node. */
  public EffectiveValue effective(SettingsPath path, FieldSpec spec) {
    Optional<SettingsPath> node = Optional.of(path);
    while (node.isPresent()) {
      Optional<String> value = override(node.get(), spec.name());
      if (value.isPresent()) {
        return new EffectiveValue(spec.name(), value.get(), node.get().toString());
      }
      node = node.get().parent();
    }
    return new EffectiveValue(spec.name(), spec.defaultValue(), "default");
  }

  /** Returns every value in force at a node. */
  public List<EffectiveValue> effective(SettingsPath path) {
    return ServicePolicy.SPECS.stream().map(spec -> effective(path, spec)).toList();
  }

  /** Returns the policy in force at a node. */
  public ServicePolicy policyAt(SettingsPath path) {
    return ServicePolicy.from(
        key -> effective(path, FieldSpecs.find(ServicePolicy.SPECS, key).orElseThrow()).value());
  }

  /** Returns every override, by path and key. */
  public List<SettingEntry> toEntries() {
    List<SettingEntry> entries = new ArrayList<>();
    overrides.forEach(
        (path, node) ->
            node.forEach(
                (key, value) -> entries.add(new SettingEntry(path, key, Optional.of(value)))));
    return entries;
  }

  /** Returns what is wrong with a change; empty if it may be accepted. */
  public static Optional<String> validate(String path, String key, Optional<String> value) {
    if (SettingsPath.parse(path).isEmpty()) {
      return Optional.of(
          "path: value \"%s\" is not allowed; allowed: /, /service, /service/jobClass,"
                  .formatted(path)
              + " /service/jobClass/zone, each a name of "
              + FieldSpecs.describeNameRange());
    }
    Optional<FieldSpec> spec = FieldSpecs.find(ServicePolicy.SPECS, key);
    if (spec.isEmpty()) {
      List<String> known = ServicePolicy.SPECS.stream().map(FieldSpec::name).toList();
      return Optional.of(
          "key: value \"%s\" is not allowed; allowed: %s".formatted(key, String.join(", ", known)));
    }
    return value.flatMap(text -> FieldSpecs.validate(spec.get(), text));
  }
}
