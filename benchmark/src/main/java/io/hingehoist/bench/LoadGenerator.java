package io.hingehoist.bench;

import io.hingehoist.cluster.LocalCluster;
import io.hingehoist.cluster.MessageCounts;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Sends the submissions of a plan at their scheduled times, independently of earlier responses
 * (open loop).
 */
final class LoadGenerator {
  static final long DEADLINE_MS = 5_000;
  private static final long LATE_MARGIN_MS = 100;
  private static final Pattern OUTCOME = Pattern.compile("\"outcome\":\"(\\w+)\"");

  private final LocalCluster cluster;
  private final double networkMs;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final String runName;

  /**
   * Creates a generator.
   *
   * @param networkMs the delay that the links add to every response, which no dispatcher could
   *     avoid
   */
  LoadGenerator(LocalCluster cluster, double networkMs, String runName) {
    this.cluster = cluster;
    this.networkMs = networkMs;
    this.runName = runName;
  }

  /** Sends the submissions of a plan and waits for all responses. */
  LoadResult run(List<Arrival> plan) {
    LoadResult result = new LoadResult();
    MessageCounts before = MessageCounts.of(cluster);
    List<CompletableFuture<Void>> answers = new ArrayList<>();
    long startNanos = System.nanoTime();
    for (Arrival arrival : plan) {
      parkUntil(startNanos + arrival.sendAtNanos());
      answers.add(send(arrival, arrival.index(), startNanos, result));
    }
    CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0])).join();
    result.setMessages(MessageCounts.of(cluster).since(before));
    return result;
  }

  private static void parkUntil(long deadlineNanos) {
    long remainingNanos = deadlineNanos - System.nanoTime();
    while (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = deadlineNanos - System.nanoTime();
    }
  }

  /** Sends a submission; after a failed attempt to the next server, as a load balancer does. */
  private CompletableFuture<Void> send(
      Arrival arrival, int attempt, long startNanos, LoadResult result) {
    int server = attempt % cluster.spec().servers() + 1;
    String path = arrival.kind() == Arrival.Kind.JOB ? "/v1/jobs" : "/v1/requests";
    URI uri = URI.create("http://" + cluster.callerAddress(server) + path);
    long sentWallMs =
        System.currentTimeMillis()
            - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos - arrival.sendAtNanos());
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(Duration.ofMillis(4 * DEADLINE_MS))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body(arrival, sentWallMs)))
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle(
            (response, failure) -> {
              boolean mayResend =
                  failure != null && attempt < arrival.index() + cluster.spec().servers();
              if (mayResend) {
                return send(arrival, attempt + 1, startNanos, result);
              }
              String outcome = failure != null ? "broken" : outcomeOf(response.body());
              recordAnswer(arrival, outcome, startNanos, result);
              return CompletableFuture.<Void>completedFuture(null);
            })
        .thenCompose(next -> next);
  }

  private void recordAnswer(Arrival arrival, String outcome, long startNanos, LoadResult result) {
    long sinceStartNanos = System.nanoTime() - startNanos;
    long responseMicros = TimeUnit.NANOSECONDS.toMicros(sinceStartNanos - arrival.sendAtNanos());
    long idealMicros = (long) (1_000 * (arrival.idealMs() + networkMs));
    boolean late = responseMicros > 1_000 * (DEADLINE_MS + LATE_MARGIN_MS + networkMs);
    long endMs = TimeUnit.NANOSECONDS.toMillis(sinceStartNanos);
    result.recordAnswer(arrival, outcome, endMs, responseMicros - idealMicros, late);
  }

  private static String outcomeOf(String body) {
    Matcher matcher = OUTCOME.matcher(body);
    return matcher.find() ? matcher.group(1) : "noOutcome";
  }

  private String body(Arrival arrival, long sentWallMs) {
    String commonFields =
        "\"caller\":\"bench\",\"submissionId\":\"%s-%d\",\"submittedAtMs\":%d,\"service\":\"porting\""
                .formatted(runName, arrival.index(), sentWallMs)
            + ",\"deadlineAtMs\":"
            + (sentWallMs + DEADLINE_MS);
    if (arrival.kind() == Arrival.Kind.JOB) {
      List<String> tasks = new ArrayList<>();
      for (int i = 0; i < arrival.taskMs().size(); i++) {
        tasks.add("{\"payload\":\"" + payload(arrival, i) + "\"}");
      }
      return "{" + commonFields + ",\"tasks\":[" + String.join(",", tasks) + "]}";
    }
    boolean repeatable = arrival.kind() == Arrival.Kind.REPEATABLE;
    return "{%s,\"repeatable\":%s,\"payload\":\"%s\"}"
        .formatted(commonFields, repeatable, payload(arrival, 0));
  }

  private String payload(Arrival arrival, int task) {
    return "ms=%d %s-%d/%d".formatted(arrival.taskMs().get(task), runName, arrival.index(), task);
  }
}
