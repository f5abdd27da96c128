package io.hingehoist.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The invariants that must hold after every scenario, checked against the records of backend
 * servers, callers and operators, independently of hingehoist.
 */
final class Invariants {
  /** The text that marks payloads of repeatable requests, which may run more than once. */
  static final String REPEATABLE = " repeatable-";

  private final ScenarioContext context;

  Invariants(ScenarioContext context) {
    this.context = context;
  }

  void check() throws IOException {
    checkStartedAtMostOnce();
    checkAnswers();
    assertEquals(context.monitor.violations(), List.of(), "a settings revision decreased");
    List<Long> revisions = List.copyOf(context.acceptedRevisions);
    assertEquals(
        new HashSet<>(revisions).size(),
        revisions.size(),
        "a settings revision was assigned twice");
  }

  private Map<String, Integer> startsByPayload() throws IOException {
    Map<String, Integer> starts = new HashMap<>();
    for (String line : context.cluster.startLogLines()) {
      starts.merge(line.split("\t")[3], 1, Integer::sum);
    }
    return starts;
  }

  private void checkStartedAtMostOnce() throws IOException {
    Map<String, Integer> startedTwice = startsByPayload();
    startedTwice.entrySet().removeIf(e -> e.getValue() < 2 || e.getKey().contains(REPEATABLE));
    assertEquals(startedTwice, Map.of(), "tasks started more than once");
  }

  private void checkAnswers() throws IOException {
    Map<String, List<Answered>> byId =
        List.copyOf(context.answers).stream().collect(Collectors.groupingBy(Answered::id));
    Map<String, Integer> starts = startsByPayload();
    for (Map.Entry<String, List<Answered>> entry : byId.entrySet()) {
      JsonNode submission = context.submissions.get(entry.getKey());
      if (submission != null) {
        checkAnswersTo(entry.getKey(), submission, entry.getValue(), starts);
      }
    }
  }

  private static void checkAnswersTo(
      String id, JsonNode submission, List<Answered> answers, Map<String, Integer> starts) {
    List<String> expected = expectedResults(submission);
    List<JsonNode> finalAnswers =
        answers.stream().filter(Answered::isFinal).map(Answered::body).toList();
    for (JsonNode answer : finalAnswers) {
      assertEquals(answer, finalAnswers.getFirst(), "different final answers to submission " + id);
      if (answer.path("outcome").asText().equals("complete")) {
        assertEquals(results(answer), expected, "incomplete or wrong results of submission " + id);
      }
    }
    boolean allRefused = answers.stream().allMatch(a -> a.outcome().equals("refused"));
    if (allRefused) {
      boolean ran = payloads(submission).stream().anyMatch(starts::containsKey);
      assertTrue(!ran, "submission was refused but run: " + id);
    }
  }

  private static List<String> payloads(JsonNode submission) {
    List<String> payloads = new ArrayList<>();
    submission.path("tasks").forEach(task -> payloads.add(task.path("payload").asText()));
    if (submission.has("payload")) {
      payloads.add(submission.path("payload").asText());
    }
    return payloads;
  }

  private static List<String> expectedResults(JsonNode submission) {
    return payloads(submission).stream().map(p -> "done " + p.split(" ", 2)[1]).toList();
  }

  private static List<String> results(JsonNode answer) {
    List<String> results = new ArrayList<>();
    answer.path("results").forEach(result -> results.add(result.asText()));
    return results;
  }
}
