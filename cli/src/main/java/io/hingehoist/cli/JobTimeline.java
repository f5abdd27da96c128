package io.hingehoist.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The log lines of all processes about one job, in order of time. It contains each line that names
 * the job, and the state changes of each host, worker or owner named in these lines between the
 * first and the last of them.
 */
final class JobTimeline {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Events that concern a process rather than a job. */
  private static final Set<String> CONTEXT_EVENTS =
      Set.of(
          "hostFound",
          "hostLost",
          "workerFound",
          "workerGone",
          "workerRefusesConnections",
          "workerSilent",
          "workerAnswers",
          "workerFailing",
          "workerDraining",
          "workerLeaves",
          "stoodStill",
          "stopping",
          "started",
          "configurationInForce");

  private final List<JsonNode> lines;

  private JobTimeline(List<JsonNode> lines) {
    this.lines = lines;
  }

  /**
   * Returns the timeline of a job.
   *
   * @param log the log lines; text before the first opening brace of a line is ignored
   */
  static JobTimeline of(String jobId, Stream<String> log) {
    List<JsonNode> all = log.map(JobTimeline::parse).flatMap(Optional::stream).toList();
    List<JsonNode> jobLines = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (JsonNode line : all) {
      if (line.path("job").asText().equals(jobId)) {
        jobLines.add(line);
        names.add(line.path("where").asText());
        names.add(line.path("node").asText());
      }
    }
    if (jobLines.isEmpty()) {
      return new JobTimeline(List.of());
    }
    long fromMs =
        atMs(jobLines.stream().min(Comparator.comparingLong(JobTimeline::atMs)).orElseThrow());
    long toMs =
        atMs(jobLines.stream().max(Comparator.comparingLong(JobTimeline::atMs)).orElseThrow());
    List<JsonNode> timeline = new ArrayList<>(jobLines);
    for (JsonNode line : all) {
      boolean withinJob = atMs(line) >= fromMs && atMs(line) <= toMs;
      boolean namesSameProcess =
          names.contains(line.path("where").asText()) || names.contains(line.path("node").asText());
      if (withinJob && namesSameProcess && CONTEXT_EVENTS.contains(line.path("event").asText())) {
        timeline.add(line);
      }
    }
    timeline.sort(Comparator.comparingLong(JobTimeline::atMs));
    return new JobTimeline(timeline);
  }

  private static long atMs(JsonNode line) {
    return line.path("atMs").asLong();
  }

  private static Optional<JsonNode> parse(String line) {
    int brace = line.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    try {
      return Optional.ofNullable(MAPPER.readTree(line.substring(brace)));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  boolean isEmpty() {
    return lines.isEmpty();
  }

  ArrayNode toJson() {
    return MAPPER.createArrayNode().addAll(lines);
  }

  /** Returns one line for each event, with its time relative to the first event. */
  String toText() {
    StringBuilder text = new StringBuilder();
    for (JsonNode line : lines) {
      text.append(
          "%8d ms  %-18s %-18s %-30s %-22s %s%n"
              .formatted(
                  atMs(line) - atMs(lines.getFirst()),
                  line.path("node").asText(),
                  line.path("event").asText(),
                  line.path("task").asText(),
                  line.path("where").asText(),
                  line.path("outcome").asText()));
    }
    return text.toString();
  }
}
