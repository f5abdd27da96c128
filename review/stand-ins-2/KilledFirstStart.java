import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** The processes of the core are killed during the first start, while one of its machines is lost. */
final class KilledFirstStart {
  private static final long TRY_MS = 40_000;

  /** The kill comes before a process has written anything to its disk. */
  private static final long KILL_AFTER_MS = 25;

  /**
   * Runs the case.
   *
   * @param kills whether the processes of the core are killed
   * @param loses whether one machine of the core is lost
   */
  static int run(boolean kills, boolean loses, Path recordFile) throws Exception {
    try (Stage stage = Stage.create(recordFile, 5, 3, 3)) {
      Stage.Node lost = stage.controls.get(4);
      stage.log("platform: the machines start for the first time, bootstrap is true");
      if (loses) {
        stage.log("platform: the machine of %s is lost", lost.name);
      }
      for (Stage.Node control : stage.controls) {
        if (!loses || control != lost) {
          control.start(true);
        }
      }
      List<Stage.Node> started = stage.controls.stream().filter(Stage.Node::runs).toList();
      if (kills) {
        Stage.sleep(KILL_AFTER_MS);
        started.forEach(node -> node.process.destroyForcibly());
        for (Stage.Node node : started) {
          node.process.waitFor();
        }
        stage.log("platform: %d processes of the core were killed at once", started.size());
      }
      for (Stage.Node owner : stage.owners) {
        owner.start(true);
      }
      for (Stage.Node host : stage.hosts) {
        host.start(true);
      }
      if (kills) {
        Stage.sleep(400);
        for (Stage.Node node : started) {
          node.start(false);
        }
        stage.log("platform: they are back, bootstrap is false");
      }
      for (Stage.Node host : stage.hosts) {
        stage.startWorker(host.name);
      }
      long untilMs = stage.nowMs() + TRY_MS;
      int status = 0;
      while (status != 200 && stage.nowMs() < untilMs) {
        status = stage.putConfiguration(Stage.configuration(1, 1_500));
        Stage.sleep(1_000);
      }
      int served = 0;
      int refused = 0;
      for (int number = 1; number <= 12; number++) {
        Stage.Answer answer = post(stage, number);
        served += answer.status == 200 ? 1 : 0;
        refused += answer.status == 503 ? 1 : 0;
        Stage.sleep(500);
      }
      stage.log("client: %d of 12 requests were served", served);
      for (Stage.Node node : stage.all()) {
        if (!node.runs() && !(loses && node == lost)) {
          throw new Stage.CannotRun(node.name + " does not run");
        }
      }
      if (served == 0 && refused < 12) {
        throw new Stage.CannotRun("not every edge answered");
      }
      return served == 0 ? 1 : 0;
    }
  }

  private static Stage.Answer post(Stage stage, int number) {
    Stage.Node edge = stage.owners.get(number % stage.owners.size());
    Stage.Answer answer;
    try (Stage.Client client = new Stage.Client(edge.ip, Stage.FRONT)) {
      answer =
          client.call(
              "POST",
              Stage.PREFIX + "%016x".formatted(number),
              Map.of("X-Hingehoist-Deadline-Ms", "1500"),
              "{\"spec\":\"s\",\"best-effort\":true,\"steps\":[{\"count\":1,\"cpu\":1600,"
                  + "\"mem-mb\":64,\"estimate-ms\":100}]}",
              1_500);
    } catch (IOException e) {
      answer = Stage.Answer.none(e.toString());
    }
    stage.log("client: POST to %s -> %s", edge.name, answer);
    return answer;
  }
}
