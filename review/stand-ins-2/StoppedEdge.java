import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** A client sends a job on its open connection to an edge that is being stopped. */
final class StoppedEdge {
  private static final String FIRST = "00000000000000a1";
  private static final String SECOND = "00000000000000b2";
  private static final String EARLIER = "00000000000000c3";

  /** The second job is sent this long after the SIGTERM; {@code grace-s} is 6. */
  private static final long SENT_AFTER_MS = 4_800;

  static int run(boolean trouble, Path recordFile) throws Exception {
    AtomicInteger runs = new AtomicInteger();
    // The first run of the second job's task fails by its own fault, as a client's task may.
    Stage.Worker.durations =
        task ->
            switch (task.substring(0, 16)) {
              case FIRST -> 5_300L;
              case SECOND -> runs.incrementAndGet() == 1 ? -550L : 550L;
              default -> 50L;
            };
    try (Stage stage = Stage.create(recordFile, 5, 3, 3)) {
      stage.start(Stage.configuration(1, 1_500));
      Stage.Node edge = stage.owners.get(0);
      try (Stage.Client one = new Stage.Client(edge.ip, Stage.FRONT);
          Stage.Client two = new Stage.Client(edge.ip, Stage.FRONT)) {
        Stage.Answer earlier =
            two.call("POST", Stage.PREFIX + EARLIER, headers(1_500), job(50), 1_500);
        stage.log("client: job %s on the second connection -> %s", EARLIER, earlier);
        if (earlier.status != 200) {
          return 2;
        }
        one.send("POST", Stage.PREFIX + FIRST, headers(8_000), job(5_000));
        stage.log("client: sent job %s on the first connection", FIRST);
        CompletableFuture<Stage.Answer> first =
            CompletableFuture.supplyAsync(() -> one.receive(8_000));
        Stage.sleep(100);
        long stopAtMs = stage.nowMs();
        if (trouble) {
          edge.signal("TERM");
        }
        Stage.sleep(SENT_AFTER_MS);
        long sentAtMs = stage.nowMs();
        two.send("POST", Stage.PREFIX + SECOND, headers(1_500), job(300));
        stage.log("client: sent job %s, %d ms after the SIGTERM", SECOND, sentAtMs - stopAtMs);
        Stage.Answer second = two.receive(1_500);
        long afterMs = stage.nowMs() - sentAtMs;
        stage.log("client: job %s -> %s after %d ms", SECOND, second, afterMs);
        stage.log("client: job %s -> %s", FIRST, first.get());
        // LOST: closed without an answer, later than lost-ms, before the deadline and the timeout.
        if (second.status == 0 && (afterMs <= 200 || afterMs >= 1_450)) {
          throw new Stage.CannotRun("no answer, but not in the time that counts");
        }
        return second.status == 0 && afterMs > 200 && afterMs < 1_450 ? 1 : 0;
      }
    }
  }

  private static Map<String, String> headers(long deadlineMs) {
    return Map.of("X-Hingehoist-Deadline-Ms", Long.toString(deadlineMs));
  }

  private static String job(long estimateMs) {
    return ("{\"spec\":\"s\",\"best-effort\":true,\"steps\":[{\"count\":1,\"cpu\":1600,"
            + "\"mem-mb\":64,\"estimate-ms\":%d}]}")
        .formatted(estimateMs);
  }
}
