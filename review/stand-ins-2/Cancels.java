import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/** A client cancels its job. */
final class Cancels {
  private static final String JOB = "00000000000000a1";
  private static final long CANCEL_MS = 3_000;
  private static final int STEPS = 4;

  /** The first DELETE meets a reset; the client's retry reaches another edge. */
  static int retried(boolean trouble, Path recordFile) throws Exception {
    Stage.Worker.durations = task -> 2_000L;
    try (Stage stage = Stage.create(recordFile, 5, 2, 3)) {
      stage.start(Stage.configuration(1, 20_000));
      Stage.Node first = stage.owners.get(0);
      Stage.Node second = stage.owners.get(1);
      try (Stage.Client client = new Stage.Client(first.ip, Stage.FRONT)) {
        CompletableFuture<Stage.Answer> post = post(stage, client);
        Thread.sleep(1_000);
        Stage.Answer cancel;
        if (trouble) {
          cancel = deleteThroughReset(stage);
          stage.log("client: DELETE, to edge-1 -> %s", cancel);
          Thread.sleep(100);
          cancel = delete(stage, second);
        } else {
          cancel = delete(stage, first);
        }
        if (cancel.status != 410 && cancel.status / 100 != 2) {
          throw new Stage.CannotRun("no acknowledgement of the cancelling");
        }
        int code = watch(stage, stage.nowMs());
        stage.log("client: POST -> %s", post.get());
        return code;
      }
    }
  }

  /** The same job arrives once more, seconds after its POST was answered and it was cancelled. */
  static int copied(boolean trouble, Path recordFile) throws Exception {
    Stage.Worker.durations = task -> 500L;
    try (Stage stage = Stage.create(recordFile, 5, 2, 3)) {
      stage.start(Stage.configuration(1, 20_000));
      Stage.Node first = stage.owners.get(0);
      Stage.Node second = stage.owners.get(1);
      try (Stage.Client client = new Stage.Client(first.ip, Stage.FRONT);
          Stage.Client copy = new Stage.Client(second.ip, Stage.FRONT)) {
        CompletableFuture<Stage.Answer> post = post(stage, client);
        Thread.sleep(300);
        Stage.Answer cancel = delete(stage, first);
        long cancelledAtMs = stage.nowMs();
        stage.log("client: POST -> %s", post.get());
        if (cancel.status != 410 && cancel.status / 100 != 2) {
          throw new Stage.CannotRun("no acknowledgement of the cancelling");
        }
        Thread.sleep(CANCEL_MS + 1_000);
        if (trouble) {
          stage.log("platform: the same POST arrives again, at edge-2");
          copy.send("POST", Stage.PREFIX + JOB, headers(), job());
        }
        int code = watch(stage, cancelledAtMs);
        stage.log("client: the POST that arrived again -> %s", trouble ? copy.receive(500) : "none");
        return code;
      }
    }
  }

  private static CompletableFuture<Stage.Answer> post(Stage stage, Stage.Client client)
      throws IOException {
    stage.log("client: POST of job %s to edge-1", JOB);
    client.send("POST", Stage.PREFIX + JOB, headers(), job());
    return CompletableFuture.supplyAsync(() -> client.receive(18_000));
  }

  private static Stage.Answer delete(Stage stage, Stage.Node edge) throws IOException {
    try (Stage.Client client = new Stage.Client(edge.ip, Stage.FRONT)) {
      Stage.Answer answer =
          client.call("DELETE", Stage.PREFIX + JOB, headers(), "", 2_000);
      stage.log("client: DELETE, to %s -> %s", edge.name, answer);
      return answer;
    }
  }

  /** Sends the DELETE on a connection that a proxy resets before it passes anything on. */
  private static Stage.Answer deleteThroughReset(Stage stage) throws IOException {
    try (ServerSocket proxy = new ServerSocket(0, 1, InetAddress.getByName(stage.net + ".91"))) {
      Thread.ofVirtual()
          .start(
              () -> {
                try (Socket accepted = proxy.accept()) {
                  accepted.getInputStream().read(new byte[512]);
                  accepted.setSoLinger(true, 0);
                } catch (IOException e) {
                  // The client sees the end of its connection all the same.
                }
              });
      try (Stage.Client client = new Stage.Client(stage.net + ".91", proxy.getLocalPort())) {
        return client.call("DELETE", Stage.PREFIX + JOB, headers(), "", 2_000);
      }
    }
  }

  /** Waits until long after the acknowledgement; returns 1 if a task was started too late. */
  private static int watch(Stage stage, long acknowledgedAtMs) throws Stage.CannotRun {
    Stage.sleep(acknowledgedAtMs + CANCEL_MS + 4_500 - stage.nowMs());
    long lastStartAtMs =
        stage.workers.values().stream().mapToLong(worker -> worker.lastStartAtMs).max().orElse(-1);
    if (lastStartAtMs < 0) {
      throw new Stage.CannotRun("no task was started");
    }
    long afterMs = lastStartAtMs - acknowledgedAtMs;
    stage.log("last start of a task: %d ms after the acknowledgement", afterMs);
    return afterMs > CANCEL_MS ? 1 : 0;
  }

  private static Map<String, String> headers() {
    return Map.of("X-Hingehoist-Deadline-Ms", "16000");
  }

  private static String job() {
    String steps =
        java.util.stream.IntStream.range(0, STEPS)
            .mapToObj(
                i ->
                    "{\"count\":1,\"cpu\":1600,\"mem-mb\":64,\"estimate-ms\":%d%s}"
                        .formatted(2_000, i == 0 ? "" : ",\"after\":[" + (i - 1) + "]"))
            .collect(Collectors.joining(","));
    return "{\"spec\":\"s\",\"best-effort\":true,\"steps\":[" + steps + "]}";
  }
}
