package io.hingehoist.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.hingehoist.cluster.ClusterSpec;
import io.hingehoist.cluster.LocalCluster;
import io.hingehoist.cluster.ProcessUsage;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** The benchmark program; {@code ./bench --help} lists its options. */
public final class Bench {
  private static final int AGENTS = 11;
  private static final int SLOTS = 8;
  private static final long ZONE_DELAY_NANOS = 500_000;
  private static final long CALLER_DELAY_NANOS = 3_000_000;

  /** The round trip between callers and servers plus the round trip between zones. */
  private static final double NETWORK_MS = 2 * (CALLER_DELAY_NANOS + ZONE_DELAY_NANOS) / 1e6;

  private static final List<String> POLICIES =
      List.of("random", "twoChoices", "leastOutstanding", "slotCredits");

  @Parameter(
      names = "--quick",
      description = "Finish within three minutes, with fewer and shorter runs")
  private boolean quick;

  @Parameter(names = "--policy", description = "The placement policy of the runs with faults")
  private String policy = "leastOutstanding";

  @Parameter(names = "--json", description = "Output file for the figures as JSON")
  private String json = "out/bench.json";

  @Parameter(names = "--html", description = "Output file for the report as HTML")
  private String html = "out/bench.html";

  @Parameter(names = "--bounds", description = "Input file with the bounds on ratios of figures")
  private String bounds = "benchmark/bounds.json";

  @Parameter(names = "--only", description = "Run only the loads whose name contains this text")
  private String only = "";

  @Parameter(names = "--help", help = true, description = "Show this help")
  private boolean help;

  private final List<BenchRow> rows = new ArrayList<>();
  private LocalCluster cluster;
  private long revision;

  private Bench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    Bench bench = new Bench();
    JCommander parser = JCommander.newBuilder().programName("bench").addObject(bench).build();
    parser.parse(args);
    if (bench.help) {
      parser.usage();
      return;
    }
    System.exit(bench.run());
  }

  private int run() throws Exception {
    Path folder = Files.createTempDirectory("hingehoist-bench");
    ClusterSpec spec = ClusterSpec.of(3, AGENTS, "porting", SLOTS);
    try (LocalCluster started = LocalCluster.create(folder, spec)) {
      cluster = started;
      cluster.relays().forEach(relay -> relay.setDelayNanos(ZONE_DELAY_NANOS));
      cluster.setCallerDelayNanos(CALLER_DELAY_NANOS);
      cluster.start();
      runAll();
    }
    return BenchReport.of(rows).write(Path.of(json), Path.of(html), Path.of(bounds), only);
  }

  private void runAll() throws IOException {
    setPolicy("twoChoices");
    load("warm-up", 0.5, 1, quick ? 15 : 30, "");
    rows.clear();
    Histogram direct = DirectCalls.measure(cluster, quick ? 40 : 200);
    System.out.printf(
        "direct call to a backend server: gap p50 %.2f ms, p99 %.2f ms%n",
        direct.getValueAtPercentile(50) / 1e3, direct.getValueAtPercentile(99) / 1e3);
    System.out.println(BenchRow.header());
    List<Double> utilizations = quick ? List.of(0.7, 1.3) : List.of(0.3, 0.7, 0.95, 1.3);
    for (String policyName : POLICIES) {
      setPolicy(policyName);
      for (double utilization : utilizations) {
        load(
            policyName + " " + Math.round(utilization * 100) + "%",
            utilization,
            1,
            quick ? 10 : 25,
            "");
      }
    }
    runFaults();
  }

  private void runFaults() throws IOException {
    setPolicy(policy);
    long seconds = quick ? 10 : 20;
    load(policy + " burst", 0.5, 5, quick ? 10 : 25, "");
    cluster.backend("agent-2").setSlowdownFactor(10);
    load(policy + " slow worker", 0.7, 1, seconds, "");
    cluster.backend("agent-2").setSlowdownFactor(1);
    loadWithKill("agent killed", "agent-3", seconds);
    loadWithKill("entry killed", "server-3", seconds);
  }

  private boolean isSelected(String name) {
    return name.contains(only);
  }

  private void load(String name, double utilization, double burstFactor, long seconds, String note)
      throws IOException {
    if (!isSelected(name) && !name.equals("warm-up")) {
      return;
    }
    List<Arrival> plan = ArrivalPlan.create(AGENTS * SLOTS, utilization, burstFactor, seconds, 42);
    ProcessUsage serversBefore = ProcessUsage.of(cluster, "server");
    ProcessUsage agentsBefore = ProcessUsage.of(cluster, "agent");
    double journalBefore = sumOfMetric("hingehoist_journal_bytes_total");
    double syncsBefore = sumOfMetric("hingehoist_journal_sync_seconds_count");
    LoadResult result = new LoadGenerator(cluster, NETWORK_MS, runName(name)).run(plan);
    add(BenchRow.of(name, result, seconds, note));
    ProcessUsage servers = ProcessUsage.of(cluster, "server");
    ProcessUsage agents = ProcessUsage.of(cluster, "agent");
    long durableSubmissions =
        plan.stream().filter(a -> a.kind() != Arrival.Kind.REPEATABLE).count();
    System.out.printf(
        "  usage: processor time a task %.0f us on servers, %.0f us on agents; agents hold up to"
            + " %.1f MB of their own and %.1f MB of files, servers %.0f MB; journal %.0f bytes and"
            + " %.2f syncs a durable submission, all replicas together%n",
        1e6 * (servers.cpuSeconds() - serversBefore.cpuSeconds()) / result.completedTasks(),
        1e6 * (agents.cpuSeconds() - agentsBefore.cpuSeconds()) / result.completedTasks(),
        agents.anonymousMb(),
        agents.fileMb(),
        servers.anonymousMb(),
        (sumOfMetric("hingehoist_journal_bytes_total") - journalBefore) / durableSubmissions,
        (sumOfMetric("hingehoist_journal_sync_seconds_count") - syncsBefore) / durableSubmissions);
  }

  /** Returns the sum of a metric over all servers. */
  private double sumOfMetric(String name) {
    double sum = 0;
    for (int server = 1; server <= 3; server++) {
      sum +=
          cluster
              .body(cluster.httpAddress(server), "/metrics")
              .lines()
              .filter(line -> line.startsWith(name + " "))
              .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
              .sum();
    }
    return sum;
  }

  private void loadWithKill(String name, String processName, long seconds) throws IOException {
    String fullName = policy + " " + name;
    if (!isSelected(fullName)) {
      return;
    }
    long killAtMs = seconds * 400;
    List<Arrival> plan = ArrivalPlan.create(AGENTS * SLOTS, 0.7, 1, seconds, 43);
    CompletableFuture<Void> kill =
        CompletableFuture.runAsync(
            () -> cluster.process(processName).kill(),
            CompletableFuture.delayedExecutor(killAtMs, TimeUnit.MILLISECONDS));
    LoadResult result = new LoadGenerator(cluster, NETWORK_MS, runName(fullName)).run(plan);
    kill.join();
    double rateBefore = result.tasksPerSecond(2_000, killAtMs);
    long recoveredMs = result.msUntilRate(killAtMs, rateBefore * 10 / 11);
    String note =
        "before %.0f task/s, back at 10/11 after %d ms".formatted(rateBefore, recoveredMs);
    add(BenchRow.of(fullName, result, seconds, note));
    cluster.process(processName).start();
    cluster.awaitReady();
  }

  private String runName(String name) {
    return name.replaceAll("\\W+", "-") + "-" + System.nanoTime();
  }

  private void add(BenchRow row) {
    rows.add(row);
    System.out.println(row);
  }

  private void setPolicy(String name) throws IOException {
    String body =
        """
        {"changeId": "bench-%d", "baseRevision": %d, "path": "/", "key": "placement",
         "value": "%s", "operator": "bench"}
        """
            .formatted(revision, revision, name);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + cluster.httpAddress(1) + "/v1/settings"))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
    revision++;
    String expected = "ready, settings revision " + revision;
    for (int server = 1; server <= 3; server++) {
      String address = cluster.httpAddress(server);
      LocalCluster.await(
          "the placement policy is in force",
          () -> cluster.body(address, "/health/ready").startsWith(expected));
    }
  }

  static ObjectMapper newMapper() {
    return new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
  }
}
