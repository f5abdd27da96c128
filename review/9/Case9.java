import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 9. The configuration grows by many routes; a client of the last of them sends a job right
 * after the acknowledgement. Its connection is reset while the node still fetches the routes. As
 * the protocol tells it, the client sends the job again 1,300 ms later, to another node.
 */
final class Case9 {
  private static final int SIDES = 3;
  private static final int EDGES = 3;
  private static final int ROUNDS = 5;

  /** The largest dose of big_config on the pages. */
  private static final int MORE_ROUTES = 1_940;

  private static final long RUN_MS = 2_000;

  /** When the connection is reset, by rounds: the time that the fetch takes depends on the machine. */
  private static final long[] RESET_AFTER_MS = {6, 10, 15, 20, 25};

  /** Exit codes; run.sh makes 1 and 2 of the last two. */
  private static final int HELD = 0;

  private static final int BROKEN = 10;
  private static final int CANT_RUN = 20;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = CANT_RUN;
    try (Log log = new Log(Path.of(args[0], "record.txt"))) {
      try (Deployment deployment = new Deployment(log, 3, EDGES, SIDES)) {
        code = play(log, deployment, trouble);
      } catch (Exception e) {
        log.line("test", "couldn't run: " + e);
        e.printStackTrace();
      }
      log.line("test", "exit code " + code);
    }
    System.exit(code);
  }

  private static int play(Log log, Deployment deployment, boolean trouble) throws Exception {
    deployment.startAll(true);
    List<Worker> workers = new ArrayList<>();
    for (Deployment.Machine side : deployment.of("host")) {
      Worker worker = new Worker(log, side, 64_000, 262_144);
      worker.start();
      workers.add(worker);
    }
    Operator operator = new Operator(log, deployment);
    operator.put(1, "", 20_000);
    deployment.awaitReady(20_000);
    Thread.sleep(3_000);

    List<Deployment.Machine> edges = deployment.of("owner");
    List<String> ids = new ArrayList<>();
    for (int round = 1; round <= ROUNDS; round++) {
      String prefix = "/new" + round + "/";
      long version = 10L * round;
      operator.put(version, moreRoutes(round, prefix), 10_000);
      List<Thread> senders = new ArrayList<>();
      // Two jobs go to edge-1; the connection of one of them is reset.
      for (int i = 0; i <= EDGES; i++) {
        String id = Client.newId();
        ids.add(id);
        int first = i % EDGES;
        boolean reset = trouble && i == 0;
        long resetAfterMs = RESET_AFTER_MS[round - 1];
        senders.add(
            Thread.ofVirtual().start(() -> sendTwice(log, edges, first, prefix + id, reset, resetAfterMs)));
      }
      for (Thread sender : senders) {
        sender.join();
      }
      Thread.sleep(1_500);
    }

    int twice = 0;
    for (String id : ids) {
      List<Worker.Run> runs = new ArrayList<>();
      for (Worker worker : workers) {
        synchronized (worker) {
          worker.history.stream().filter(run -> run.task.startsWith(id)).forEach(runs::add);
        }
      }
      for (int a = 0; a < runs.size(); a++) {
        for (int b = a + 1; b < runs.size(); b++) {
          long overlapMs = overlap(runs.get(a), runs.get(b));
          if (overlapMs > 0) {
            twice++;
            log.line(
                "test",
                "TWICE: %s run %d on %s and run %d on %s go at the same time for %d ms"
                    .formatted(
                        runs.get(a).task,
                        runs.get(a).number,
                        runs.get(a).life,
                        runs.get(b).number,
                        runs.get(b).life,
                        overlapMs));
          }
        }
      }
    }
    log.line("test", "jobs: " + ids.size() + ", pairs of runs at the same time: " + twice);
    return twice > 0 ? BROKEN : HELD;
  }

  private static long overlap(Worker.Run a, Worker.Run b) {
    long endA = a.endedAtMs < 0 ? Long.MAX_VALUE : a.endedAtMs;
    long endB = b.endedAtMs < 0 ? Long.MAX_VALUE : b.endedAtMs;
    return Math.min(endA, endB) - Math.max(a.startedAtMs, b.startedAtMs);
  }

  /** Sends a job, and once more 1,300 ms after no answer or a broken connection. */
  private static void sendTwice(
      Log log,
      List<Deployment.Machine> edges,
      int first,
      String path,
      boolean reset,
      long resetAfterMs) {
    String body = Client.body(1, RUN_MS, 1_600);
    for (int attempt = 0; attempt < 2; attempt++) {
      Deployment.Machine edge = edges.get((first + attempt) % edges.size());
      log.line("client", "sends " + path + " to " + edge.name);
      Http.Answer answer =
          reset && attempt == 0
              ? postAndReset(edge, path, body, resetAfterMs)
              : Http.call(
                  edge.ip,
                  Deployment.FRONT_PORT,
                  "POST",
                  path,
                  Client.HOST,
                  body,
                  Client.DEADLINE_MS,
                  java.util.Map.of(
                      "X-Hingehoist-Deadline-Ms", String.valueOf(Client.DEADLINE_MS)));
      log.line("client", path + " at " + edge.name + ": " + answer.describe());
      if (answer.status() > 0) {
        return;
      }
      try {
        Thread.sleep(Client.RETRANSMIT_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends a request on a connection that is then reset. */
  private static Http.Answer postAndReset(
      Deployment.Machine edge, String path, String body, long resetAfterMs) {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(edge.ip, Deployment.FRONT_PORT), 1_000);
      String request =
          "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                  .formatted(path, Client.HOST, body.length())
              + "X-Hingehoist-Deadline-Ms: "
              + Client.DEADLINE_MS
              + "\r\n\r\n"
              + body;
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      Thread.sleep(resetAfterMs);
      socket.setSoLinger(true, 0);
    } catch (IOException | InterruptedException e) {
      return new Http.Answer(-1, e.toString(), java.util.Map.of());
    }
    return new Http.Answer(-1, "reset", java.util.Map.of());
  }

  /** Returns routes of new queues; the client uses the last one. */
  private static String moreRoutes(int round, String prefix) {
    StringBuilder routes = new StringBuilder();
    for (int i = 0; i < MORE_ROUTES; i++) {
      String path = i == MORE_ROUTES - 1 ? prefix : "/p" + round + "q" + i + "/";
      routes.append(
          """
          ,{"name":"r-%d-%d","host":"%s","prefix":"%s","kind":"unsafe","timeout-ms":1500,\
          "slo-ms":60,"priority":2,"service":"%s","attempts":3,"stretch":1.6}"""
              .formatted(round, i, Client.HOST, path, Deployment.SERVICE));
    }
    return routes.toString();
  }
}
