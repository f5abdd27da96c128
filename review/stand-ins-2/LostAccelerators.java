import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** The only workers with accelerators are lost while jobs run there; then the jobs arrive again. */
final class LostAccelerators {
  private static final int EDGES = 3;
  private static final int JOBS_PER_EDGE = 2;

  /** The time between two arrivals at one edge. */
  private static final long PAUSE_MS = 4_500;

  static int run(boolean trouble, Path recordFile) throws Exception {
    Stage.Worker.durations = task -> task.startsWith("0000") ? 6_000L : 1_000L;
    try (Stage stage = Stage.create(recordFile, 5, EDGES, 7)) {
      stage.gpusByHost.put("side-1", 32L);
      stage.gpusByHost.put("side-2", 4L);
      stage.gpusByHost.put("side-3", 4L);
      stage.addedLater.addAll(List.of("side-2", "side-3"));
      stage.start(Stage.configuration(1, 20_000));
      Map<String, Integer> ends = new TreeMap<>();
      Watch watch = new Watch(stage, ends);
      Thread watcher = Thread.ofVirtual().start(watch);
      Map<String, CompletableFuture<Stage.Answer>> posts = new LinkedHashMap<>();
      for (int number = 0; number < EDGES * JOBS_PER_EDGE; number++) {
        String job = "000000000000000" + (number + 1);
        Stage.Node edge = stage.owners.get(number % EDGES);
        posts.put(job, CompletableFuture.supplyAsync(() -> post(stage, edge, job, 1)));
      }
      Stage.Worker first = stage.workers.get("side-1");
      stage.await("runs on i-1", 5_000, () -> first.runningOf("0000").size() == posts.size());
      stage.log("two more workers with accelerators are added");
      stage.startWorker("side-2");
      stage.startWorker("side-3");
      Stage.sleep(700);
      if (trouble) {
        Stage.Worker second = stage.workers.get("side-2");
        Stage.Worker third = stage.workers.get("side-3");
        lose(stage, first);
        stage.await(
            "runs on i-2 and i-3",
            5_000,
            () ->
                second.runningOf("0000").size() + third.runningOf("0000").size() == posts.size());
        Stage.sleep(300);
        lose(stage, second);
        Stage.sleep(1_000);
        lose(stage, third);
      }
      for (CompletableFuture<Stage.Answer> post : posts.values()) {
        if (post.get().status != 200) {
          throw new Stage.CannotRun("a job was not answered the first time");
        }
      }
      Stage.sleep(4_000);
      int number = 0;
      List<CompletableFuture<Stage.Answer>> others = new ArrayList<>();
      for (String job : posts.keySet()) {
        Stage.Node edge = stage.owners.get(number % 2);
        String other = "aaaaaaaaaaaaaaa" + ++number;
        others.add(CompletableFuture.supplyAsync(() -> post(stage, edge, other, 0)));
        Stage.sleep(300);
        stage.log("platform: the POST of job %s arrives once more", job);
        CompletableFuture<Stage.Answer> copy =
            CompletableFuture.supplyAsync(() -> post(stage, edge, job, 1));
        others.add(copy);
        Stage.sleep(PAUSE_MS / 2);
      }
      for (CompletableFuture<Stage.Answer> other : others) {
        other.get();
      }
      Stage.sleep(1_000);
      watch.ended = true;
      watcher.join();
      stage.log("platform: ends of processes by themselves: %s", ends);
      return ends.values().stream().filter(count -> count >= 3).count() >= 2 ? 1 : 0;
    }
  }

  /** Ends a worker for good, as a process that crashes does. */
  private static void lose(Stage stage, Stage.Worker worker) {
    stage.log("worker %s crashes and is lost for good", worker.id);
    worker.stop();
  }

  private static Stage.Answer post(Stage stage, Stage.Node edge, String job, int gpus) {
    stage.log("client: POST of job %s to %s", job, edge.name);
    Stage.Answer answer;
    try (Stage.Client client = new Stage.Client(edge.ip, Stage.FRONT)) {
      answer =
          client.call(
              "POST",
              Stage.PREFIX + job,
              Map.of("X-Hingehoist-Deadline-Ms", "15000"),
              ("{\"spec\":\"s\",\"best-effort\":true,\"steps\":[{\"count\":1,\"cpu\":1600,"
                      + "\"mem-mb\":64,\"gpu\":%d,\"estimate-ms\":%d}]}")
                  .formatted(gpus, gpus > 0 ? 6_000 : 1_000)
                  .replace("\"gpu\":0,", ""),
              15_000);
    } catch (IOException e) {
      answer = Stage.Answer.none(e.toString());
    }
    stage.log("client: POST of job %s to %s -> %s", job, edge.name, answer);
    return answer;
  }

  /** Restarts edges that end by themselves after a short delay, as the platform does. */
  private static final class Watch implements Runnable {
    private final Stage stage;
    private final Map<String, Integer> ends;
    private volatile boolean ended;

    Watch(Stage stage, Map<String, Integer> ends) {
      this.stage = stage;
      this.ends = ends;
    }

    @Override
    public void run() {
      while (!ended) {
        for (Stage.Node node : stage.all()) {
          if (!node.runs()) {
            stage.log("platform: %s ended with code %d", node.name, node.process.exitValue());
            ends.merge(node.name, 1, Integer::sum);
            Stage.sleep(300);
            try {
              node.start(false);
            } catch (IOException e) {
              throw new IllegalStateException(e);
            }
          }
        }
        Stage.sleep(20);
      }
    }
  }
}
