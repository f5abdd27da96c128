package io.hingehoist.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hingehoist.cluster.ClusterSpec;
import io.hingehoist.cluster.LocalCluster;
import io.hingehoist.cluster.MessageCounts;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Runs one job and one single request through real processes, and prints their results. */
public final class Demo {
  private static final int TASKS = 40;
  private static final int AGENTS = 3;
  private static final int SLOTS = 8;
  private static final int TASK_MS = 100;
  private static final int MINT_MS = 50;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final LocalCluster cluster;
  private final HttpClient http = HttpClient.newHttpClient();

  private Demo(LocalCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Runs the demonstration. The first argument is the file of example settings, with one change per
   * line: path, key and value.
   */
  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("hingehoist-demo");
    System.out.println("starting 3 servers and 3 agents; their logs are in " + folder);
    try (LocalCluster cluster =
        LocalCluster.create(folder, ClusterSpec.of(3, AGENTS, "porting", SLOTS))) {
      cluster.start();
      new Demo(cluster).run(Files.readAllLines(Path.of(args[0])));
    }
    System.out.println("all processes are stopped");
  }

  private void run(List<String> settings) throws IOException {
    for (int i = 0; i < settings.size(); i++) {
      applySetting(settings.get(i).split(" "), i);
    }
    MessageCounts before = MessageCounts.of(cluster);
    double jobMs = submitJob();
    double mintMs = mintCredential();
    MessageCounts sentCounts = MessageCounts.of(cluster).since(before);
    int waves = (TASKS + AGENTS * SLOTS - 1) / (AGENTS * SLOTS);
    System.out.printf(
        "response-time gap: job %.1f ms over %d ms of tasks, mint %.1f ms over %d ms%n",
        jobMs - waves * TASK_MS, waves * TASK_MS, mintMs - MINT_MS, MINT_MS);
    System.out.printf(
        "wasted messages: %d for %d completed tasks; by type: %s%n",
        sentCounts.wasted(TASKS + 1), TASKS + 1, sentCounts.sent());
  }

  private void applySetting(String[] fields, int number) throws IOException {
    ObjectNode change = MAPPER.createObjectNode();
    change.put("changeId", "demo-" + number);
    change.put("baseRevision", number);
    change.put("path", fields[0]);
    change.put("key", fields[1]);
    change.put("value", fields[2]);
    change.put("operator", "demo");
    JsonNode answer = post(1, "/v1/settings", change);
    System.out.println("setting " + String.join(" ", fields) + ": " + answer);
    check(answer.path("result").asText().equals("accepted"), answer);
  }

  private double submitJob() throws IOException {
    ObjectNode job = submission("carrier-desk", "port-4711");
    job.put("jobClass", "activation");
    var tasks = job.putArray("tasks");
    for (int i = 0; i < TASKS; i++) {
      tasks.addObject().put("payload", "ms=" + TASK_MS + " port +1514555" + (1000 + i));
    }
    long startNanos = System.nanoTime();
    JsonNode answer = post(2, "/v1/jobs", job);
    double responseMs = (System.nanoTime() - startNanos) / 1e6;
    System.out.println("job: " + answer);
    check(answer.path("outcome").asText().equals("complete"), answer);
    check(answer.path("results").size() == TASKS, answer);
    check(answer.path("results").get(7).asText().equals("done port +15145551007"), answer);
    return responseMs;
  }

  private double mintCredential() throws IOException {
    ObjectNode mint = submission("clinic-pipeline", "mint-1");
    mint.put("repeatable", false);
    mint.put("payload", "ms=" + MINT_MS + " credential-for clinic/app");
    long startNanos = System.nanoTime();
    JsonNode answer = post(3, "/v1/requests", mint);
    double responseMs = (System.nanoTime() - startNanos) / 1e6;
    System.out.println("mint: " + answer);
    check(answer.path("outcome").asText().equals("complete"), answer);
    JsonNode repeated = post(1, "/v1/requests", mint);
    System.out.println("the same mint at another entry: " + repeated);
    check(repeated.equals(answer), repeated);
    long starts =
        cluster.startLogLines().stream().filter(line -> line.contains("credential-for")).count();
    check(starts == 1, repeated);
    return responseMs;
  }

  private static ObjectNode submission(String caller, String id) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("caller", caller);
    body.put("submissionId", id);
    body.put("submittedAtMs", System.currentTimeMillis());
    body.put("service", "porting");
    return body;
  }

  private JsonNode post(int server, String path, JsonNode body) throws IOException {
    URI uri = URI.create("http://" + cluster.httpAddress(server) + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build();
    try {
      return MAPPER.readTree(http.send(request, HttpResponse.BodyHandlers.ofString()).body());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private static void check(boolean condition, JsonNode answer) {
    if (!condition) {
      throw new IllegalStateException("unexpected response: " + answer);
    }
  }
}
