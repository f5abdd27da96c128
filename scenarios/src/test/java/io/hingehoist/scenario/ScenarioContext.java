package io.hingehoist.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hingehoist.cluster.ClusterSpec;
import io.hingehoist.cluster.LocalCluster;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/** The state of one scenario: its cluster, the submissions of callers and the answers to them. */
final class ScenarioContext {
  static final String SERVICE = "porting";
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(90);
  private static final long MIN_RETRY_MS = 50;
  private static final int SLOTS = 8;
  private static final int SERVERS = 3;

  final HttpClient http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();
  final List<Answered> answers = Collections.synchronizedList(new ArrayList<>());
  final List<CompletableFuture<Answered>> pendingAnswers =
      Collections.synchronizedList(new ArrayList<>());
  final Map<String, ObjectNode> submissions = new HashMap<>();
  final List<Long> acceptedRevisions = Collections.synchronizedList(new ArrayList<>());
  Path folder;
  Path platformList;
  LocalCluster cluster;
  RevisionMonitor monitor;

  void create(int agents, Map<String, String> control) throws IOException {
    folder = Files.createTempDirectory("scenario");
    platformList = folder.resolve("boxes.json");
    Files.writeString(platformList, "{\"boxes\": []}");
    ClusterSpec spec =
        ClusterSpec.of(SERVERS, agents, SERVICE, SLOTS)
            .withC1CompilerOnly()
            .withControl("electionTimeoutMs", "400")
            .withControl("heartbeatMs", "60")
            .withControl("leaseMs", "1500")
            .withControl("memberTimeoutMs", "2000")
            .withControl("platformList", platformList.toString())
            .withControl("platformListMs", "200");
    for (Map.Entry<String, String> field : control.entrySet()) {
      spec = spec.withControl(field.getKey(), field.getValue());
    }
    cluster = LocalCluster.create(folder, spec);
    cluster.start();
    monitor = RevisionMonitor.start(this);
  }

  static ObjectNode newObject() {
    return MAPPER.createObjectNode();
  }

  /** Returns the payload of a task, which is unique among all tasks of a scenario. */
  static String payload(String job, int index, int taskMs) {
    return "ms=" + taskMs + " " + job + "/" + index;
  }

  ObjectNode job(String id, int tasks, int taskMs) {
    ObjectNode body = submission(id);
    var list = body.putArray("tasks");
    for (int i = 0; i < tasks; i++) {
      list.addObject().put("payload", payload(id, i, taskMs));
    }
    submissions.put(id, body);
    return body;
  }

  ObjectNode submission(String id) {
    ObjectNode body = newObject();
    body.put("caller", "desk");
    body.put("submissionId", id);
    body.put("submittedAtMs", System.currentTimeMillis());
    body.put("service", SERVICE);
    body.put("deadlineAtMs", System.currentTimeMillis() + 45_000);
    return body;
  }

  /**
   * Submits at a server, and retries there, as docs/API.md asks callers to, while the server
   * refuses because it has no lease. Records the first other answer.
   */
  CompletableFuture<Answered> post(String id, int server, String path, JsonNode body) {
    return track(callWithRetry(Answered::isRefusedForMissingLease, () -> server, id, path, body));
  }

  /**
   * Submits at any ready server, and retries at one under the same id while the answer is a refusal
   * for a missing lease or an unknown outcome.
   */
  CompletableFuture<Answered> postUntilOutcomeKnown(String id, String path, JsonNode body) {
    return track(callWithRetry(Answered::shouldRetry, this::anyReadyServer, id, path, body));
  }

  private CompletableFuture<Answered> track(CompletableFuture<Answered> answer) {
    pendingAnswers.add(answer);
    answer.thenAccept(answers::add);
    return answer;
  }

  private CompletableFuture<Answered> callWithRetry(
      Predicate<Answered> retryIf, IntSupplier server, String id, String path, JsonNode body) {
    return call(id, server.getAsInt(), path, body)
        .thenCompose(
            answer ->
                retryIf.test(answer)
                    ? CompletableFuture.supplyAsync(
                            () -> callWithRetry(retryIf, server, id, path, body),
                            retryExecutor(answer))
                        .thenCompose(next -> next)
                    : CompletableFuture.completedFuture(answer));
  }

  private static Executor retryExecutor(Answered answer) {
    long retryAfterMs = Math.max(MIN_RETRY_MS, answer.body().path("retryAfterMs").asLong());
    return CompletableFuture.delayedExecutor(retryAfterMs, TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<Answered> call(String id, int server, String path, JsonNode body) {
    URI uri = URI.create("http://" + cluster.httpAddress(server) + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(TIMEOUT)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle(
            (response, failure) ->
                failure == null
                    ? new Answered(id, server, response.statusCode(), parse(response.body()))
                    : new Answered(id, server, -1, newObject()));
  }

  JsonNode get(int server, String path) {
    return parse(cluster.body(cluster.httpAddress(server), path));
  }

  private static JsonNode parse(String text) {
    try {
      return text.isEmpty() ? newObject() : MAPPER.readTree(text);
    } catch (IOException e) {
      return newObject().put("notJson", text);
    }
  }

  /** Returns the number of a server that is running and has a lease. */
  int anyReadyServer() {
    int[] found = new int[1];
    LocalCluster.await(
        "any server is ready",
        () -> {
          for (int i = 1; i <= SERVERS && found[0] == 0; i++) {
            found[0] = isReady(i) ? i : 0;
          }
          return found[0] > 0;
        });
    return found[0];
  }

  boolean isReady(int server) {
    return cluster.process("server-" + server).isRunning()
        && cluster.body(cluster.httpAddress(server), "/health/ready").startsWith("ready");
  }

  /** Returns the number of the server with the leading replica, as a ready server reports it. */
  int leader() {
    int[] found = new int[1];
    LocalCluster.await(
        "the log leader is known",
        () -> {
          String address =
              get(anyReadyServer(), "/v1/reports/status").path("leaderAddress").asText();
          for (int i = 1; i <= SERVERS; i++) {
            if (address.startsWith(cluster.ipOf("server-" + i) + ":")) {
              found[0] = i;
            }
          }
          return found[0] > 0;
        });
    return found[0];
  }

  /** Returns the number of tasks of a job that backend servers have started. */
  long startCount(String job) {
    try {
      return cluster.startLogLines().stream().filter(l -> l.contains(" " + job + "/")).count();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  JsonNode state(String job) {
    return get(anyReadyServer(), "/v1/jobs/desk/" + job);
  }

  void close() throws IOException {
    if (monitor != null) {
      monitor.close();
    }
    if (cluster != null) {
      for (var process : cluster.processes().values()) {
        if (process.isRunning()) {
          process.thaw();
        }
      }
      cluster.close();
    }
  }
}
