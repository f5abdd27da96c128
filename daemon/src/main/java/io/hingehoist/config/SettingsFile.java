package io.hingehoist.config;

import io.hingehoist.message.FieldSpec;
import io.hingehoist.settings.AgentSection;
import io.hingehoist.settings.CallersSection;
import io.hingehoist.settings.ControlSection;
import io.hingehoist.settings.EntrySection;
import io.hingehoist.settings.FieldSpecs;
import io.hingehoist.settings.HostSection;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.settings.OwnerSection;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/** Reads and validates a settings file. Not thread-safe; use {@link #read}. */
public final class SettingsFile {
  private static final int MAX_FILE_CHARACTERS = 256 * 1024;
  private static final int MAX_ALIASES = 10;
  private static final int MAX_NESTING = 8;
  private static final Map<String, List<FieldSpec>> SECTIONS =
      Map.of(
          "node", NodeSection.SPECS,
          "callers", CallersSection.SPECS,
          "control", ControlSection.SPECS,
          "entry", EntrySection.SPECS,
          "agent", AgentSection.SPECS,
          "owner", OwnerSection.SPECS,
          "host", HostSection.SPECS);

  private final Path file;
  private final List<String> problems = new ArrayList<>();
  private final Map<String, Map<String, String>> values = new HashMap<>();

  private SettingsFile(Path file) {
    this.file = file;
  }

  /** Reads and validates a file. Opens no sockets and writes no files. */
  public static SettingsResult read(Path file) {
    return new SettingsFile(file).read();
  }

  private SettingsResult read() {
    Optional<Map<?, ?>> root = parse();
    root.ifPresent(this::checkSections);
    Optional<DaemonSettings> settings =
        problems.isEmpty() ? Optional.of(toSettings()) : Optional.empty();
    settings.ifPresent(this::checkAcrossFields);
    return problems.isEmpty()
        ? new SettingsResult.Valid(settings.orElseThrow())
        : new SettingsResult.Invalid(List.copyOf(problems));
  }

  private Optional<Map<?, ?>> parse() {
    LoaderOptions options = new LoaderOptions();
    options.setAllowDuplicateKeys(false);
    options.setMaxAliasesForCollections(MAX_ALIASES);
    options.setNestingDepthLimit(MAX_NESTING);
    options.setCodePointLimit(MAX_FILE_CHARACTERS);
    try (Reader reader = Files.newBufferedReader(file)) {
      Object document = new Yaml(new SafeConstructor(options)).load(reader);
      if (document instanceof Map<?, ?> map) {
        return Optional.of(map);
      }
      addProblem("(whole file)", String.valueOf(document), "a map of sections");
    } catch (IOException e) {
      addProblem("(whole file)", e.getClass().getSimpleName(), "a readable file");
    } catch (YAMLException e) {
      String line = e.getMessage().replaceAll("\\s+", " ").strip();
      addProblem("(whole file)", line, "YAML with distinct keys and at most 10 aliases");
    }
    return Optional.empty();
  }

  private void addProblem(String field, String value, String allowed) {
    problems.add(
        "%s: %s: value \"%s\" is not allowed; allowed: %s".formatted(file, field, value, allowed));
  }

  private void checkSections(Map<?, ?> root) {
    root.forEach(
        (name, content) -> {
          if (!SECTIONS.containsKey(name)) {
            addProblem(
                String.valueOf(name),
                "(unknown key)",
                "node, callers, control, entry, agent, owner, host");
          } else if (content instanceof Map<?, ?> section) {
            checkSection(String.valueOf(name), section);
          } else {
            addProblem(String.valueOf(name), String.valueOf(content), "a map of fields");
          }
        });
    List<String> roles =
        FieldSpec.list(values.getOrDefault("node", Map.of()).getOrDefault("roles", ""));
    if (!root.containsKey("node")) {
      addProblem("node", "(missing)", "a map of fields");
    }
    for (String role : roles) {
      if (SECTIONS.containsKey(role) && !root.containsKey(role)) {
        addProblem(role, "(missing)", "a map of fields, because node.roles names " + role);
      }
    }
  }

  private void checkSection(String sectionName, Map<?, ?> section) {
    List<FieldSpec> specs = SECTIONS.get(sectionName);
    Map<String, String> found = new HashMap<>();
    section.forEach(
        (key, value) -> {
          String field = sectionName + "." + key;
          Optional<FieldSpec> spec = FieldSpecs.find(specs, String.valueOf(key));
          if (spec.isEmpty()) {
            addProblem(field, "(unknown key)", fieldNames(specs));
          } else {
            checkValue(field, spec.get(), value, found);
          }
        });
    for (FieldSpec spec : specs) {
      if (spec.isRequired() && !section.containsKey(spec.name())) {
        addProblem(sectionName + "." + spec.name(), "(missing)", FieldSpecs.describeRange(spec));
      }
    }
    values.put(sectionName, found);
  }

  private void checkValue(String field, FieldSpec spec, Object value, Map<String, String> found) {
    boolean list = spec.type().equals("array");
    boolean wrongShape = value == null || value instanceof Map || (value instanceof List) != list;
    if (wrongShape) {
      addProblem(
          field,
          String.valueOf(value),
          (list ? "a list of " : "") + FieldSpecs.describeRange(spec));
      return;
    }
    String text =
        value instanceof List<?> items
            ? items.stream().map(String::valueOf).collect(Collectors.joining(","))
            : String.valueOf(value);
    if (FieldSpecs.validate(spec, text).isPresent()) {
      addProblem(field, text, FieldSpecs.describeRange(spec));
    }
    found.put(spec.name(), text);
  }

  private static String fieldNames(List<FieldSpec> specs) {
    return specs.stream().map(FieldSpec::name).collect(Collectors.joining(", "));
  }

  private DaemonSettings toSettings() {
    NodeSection node = NodeSection.from(lookup("node"));
    return new DaemonSettings(
        node,
        CallersSection.from(lookup("callers")),
        section(node, "control", ControlSection::from),
        section(node, "entry", EntrySection::from),
        section(node, "agent", AgentSection::from),
        section(node, "owner", OwnerSection::from),
        section(node, "host", HostSection::from));
  }

  private <T> Optional<T> section(
      NodeSection node, String name, Function<Function<String, String>, T> factory) {
    return node.roles().contains(name)
        ? Optional.of(factory.apply(lookup(name)))
        : Optional.empty();
  }

  private Function<String, String> lookup(String section) {
    return field ->
        values
            .getOrDefault(section, Map.of())
            .getOrDefault(
                field, FieldSpecs.find(SECTIONS.get(section), field).orElseThrow().defaultValue());
  }

  /** Checks the constraints between several fields. */
  private void checkAcrossFields(DaemonSettings settings) {
    NodeSection node = settings.node();
    if (node.roles().contains("agent") && node.roles().size() > 1) {
      addProblem("node.roles", String.join(",", node.roles()), "agent alone, or entry and control");
    }
    for (String role : List.of("owner", "host")) {
      if (node.roles().contains(role) && node.roles().size() > 1) {
        addProblem("node.roles", String.join(",", node.roles()), role + " alone");
      }
      if (node.roles().contains(role) && node.adapter().isEmpty()) {
        addProblem("node.adapter", "", "the name of an adapter, because node.roles names " + role);
      }
    }
    settings.control().ifPresent(control -> checkControl(node, control));
  }

  private void checkControl(NodeSection node, ControlSection control) {
    if (node.dataFolder().isEmpty()) {
      addProblem("node.dataFolder", "", "a path of a folder, because node.roles names control");
    }
    if (node.peerPort() == 0 && !node.controlAddresses().contains(control.listenAddress())) {
      addProblem(
          "control.listenAddress",
          control.listenAddress(),
          "one of node.controlAddresses: " + String.join(", ", node.controlAddresses()));
    }
    if (control.electionTimeoutMs() < 2 * control.heartbeatMs()) {
      addProblem(
          "control.electionTimeoutMs",
          String.valueOf(control.electionTimeoutMs()),
          "at least twice control.heartbeatMs, which is " + control.heartbeatMs());
    }
    if (control.memberTimeoutMs() <= control.leaseMs()) {
      addProblem(
          "control.memberTimeoutMs",
          String.valueOf(control.memberTimeoutMs()),
          "more than control.leaseMs, which is " + control.leaseMs());
    }
  }
}
