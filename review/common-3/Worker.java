import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A worker as PROTOCOL.md tells it, on the loopback address of its side machine. A task's spec says
 * how long it runs: "ms=300". A run that is being stopped is listed as running until its end. A new
 * life has a new id, runs nothing and has seen no fencing token.
 */
class Worker {
  static final long HEARTBEAT_MS = 1_500;
  static final long MAX_LEASE_MS = 1_000;
  /** How long a stop takes; "at most `kill-grace-ms`", which is 50. */
  long stopMs() {
    return 20;
  }

  /** A run, from its start to its end. */
  static final class Run {
    final String task;
    final long number;
    final String spec;
    final long cpu;
    final String life;
    final long startedAtMs;
    long endsAtMs;
    String how = "done";
    long endedAtMs = -1;

    Run(String task, long number, String spec, long cpu, String life, long startedAtMs, long ms) {
      this.task = task;
      this.number = number;
      this.spec = spec;
      this.cpu = cpu;
      this.life = life;
      this.startedAtMs = startedAtMs;
      this.endsAtMs = startedAtMs + ms;
    }
  }

  private record End(long n, Run run) {}

  final Log record;
  final String name;
  final String ip;
  final String heartbeatIp;
  final long cpu;
  final long memMb;
  final List<Run> history = new ArrayList<>();
  final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Long> invalid = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, r -> {
    Thread t = new Thread(r, "timer");
    t.setDaemon(true);
    return t;
  });
  private ServerSocket server;
  volatile boolean up;
  private int lives;
  String id = "";
  private long clockStartMs;
  private long token;
  private long leaseEndsAtMs;
  private long endCount;
  private long seq;
  volatile String state = "ready";

  Worker(Log record, Deployment.Machine side, long cpu, long memMb) {
    this.record = record;
    this.name = "worker of " + side.name;
    this.ip = side.ip;
    this.heartbeatIp = side.ip;
    this.cpu = cpu;
    this.memMb = memMb;
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Begins a new life. */
  synchronized void start() throws IOException {
    lives++;
    id = "i-" + ip.replace('.', '-') + "-" + lives;
    running.clear();
    invalid.clear();
    ends.clear();
    token = 0;
    leaseEndsAtMs = 0;
    endCount = 0;
    seq = 0;
    state = "ready";
    clockStartMs = nowMs() - 100_000L * lives;
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), Deployment.WORKER_PORT), 256);
    up = true;
    record.line(name, "begins as " + id);
    ServerSocket mine = server;
    Thread.ofVirtual().start(() -> accept(mine));
    String life = id;
    Thread.ofVirtual().start(() -> heartbeats(life));
  }

  /** Crashes: everything dies at once, connections end, new ones are refused. */
  synchronized void crash() throws IOException {
    up = false;
    long now = nowMs();
    for (Run run : running.values()) {
      run.how = "lost";
      run.endedAtMs = now;
      record.line(name, "dies with " + run.task + " run " + run.number);
    }
    running.clear();
    record.line(name, "crashes");
    server.close();
    for (Socket socket : connections) {
      socket.close();
    }
    connections.clear();
    notifyAll();
  }

  void heartbeats(String life) {
    while (up && life.equals(id)) {
      String body;
      synchronized (this) {
        body = heartbeatBody(++seq);
      }
      Http.Answer answer =
          Http.call(
              heartbeatIp,
              Deployment.CONTROL_PORT,
              "POST",
              "/Instances.Heartbeat/" + life,
              "h",
              body,
              1_000);
      onHeartbeatAnswer(answer);
      try {
        Thread.sleep(answer.status() == 200 ? HEARTBEAT_MS : 300);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  void onHeartbeatAnswer(Http.Answer answer) {}

  String heartbeatBody(long number) {
    return """
        {"service":"%s","addr":"%s:%d","zone":"delta-east","version":"v1","slots":8,"state":"%s",\
        "cold-left-ms":0,"capacity":{"cpu":%d,"mem-mb":%d,"gpu":0},"labels":["a","r1-1"],\
        "wall-clock-ms":%d,"seq":%d}"""
        .formatted(
            Deployment.SERVICE, ip, Deployment.WORKER_PORT, state, cpu, memMb, clockMs(), number);
  }

  long clockMs() {
    return nowMs() - clockStartMs;
  }

  private void accept(ServerSocket mine) {
    while (!mine.isClosed()) {
      try {
        Socket socket = mine.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Request request;
      while ((request = Http.readRequest(in)) != null) {
        byte[] response = handle(request);
        socket.getOutputStream().write(response);
        socket.getOutputStream().flush();
      }
    } catch (IOException e) {
      // The connection ended.
    } finally {
      connections.remove(socket);
    }
  }

  /** Handles a call; overridden by workers that answer late or not at all. */
  byte[] handle(Http.Request request) throws IOException {
    return execute(request);
  }

  synchronized byte[] execute(Http.Request request) {
    endDue();
    String expected = request.headers().getOrDefault("x-hingehoist-expect-instance", id);
    if (!expected.equals(id)) {
      return Http.response(421, "{}");
    }
    return switch (request.path()) {
      case "/run-start" -> startRun(request.body());
      case "/run-stop" -> stopRun(request.body());
      case "/hold" -> hold(request.body());
      default -> Http.response(404, "{}");
    };
  }

  private boolean fenced(String body) {
    long offered = Json.number(body, "fencing-token", 0);
    if (offered < token) {
      return true;
    }
    token = offered;
    return false;
  }

  private byte[] clockAnd(int status, String reason) {
    String more = reason.isEmpty() ? "" : ",\"reason\":\"" + reason + "\"";
    return Http.response(status, "{\"wall-clock-ms\":" + clockMs() + more + "}");
  }

  private void extendLease(String body) {
    long deadline = Json.number(body, "deadline-ms", 0);
    if (deadline > 0) {
      long until = Math.min(deadline + clockStartMs, nowMs() + MAX_LEASE_MS);
      leaseEndsAtMs = Math.max(leaseEndsAtMs, until);
      scheduleCheck(leaseEndsAtMs);
    }
  }

  private void scheduleCheck(long atMs) {
    TIMER.schedule(this::endDueNow, Math.max(1, atMs - nowMs() + 1), TimeUnit.MILLISECONDS);
  }

  private synchronized void endDueNow() {
    if (up) {
      endDue();
    }
  }

  private byte[] startRun(String body) {
    String task = Json.text(body, "task");
    long number = Json.number(body, "run", 0);
    if (fenced(body)) {
      record.line(name, "refuses " + task + " run " + number + ": fence");
      return clockAnd(409, "fence");
    }
    extendLease(body);
    Run current = running.get(task);
    if (current != null && current.number == number) {
      return clockAnd(200, "");
    }
    if (current != null || number <= invalid.getOrDefault(task, 0L)) {
      record.line(name, "refuses " + task + " run " + number + ": old");
      return clockAnd(409, "old");
    }
    if (Json.number(body, "deadline-ms", 0) <= clockMs()) {
      record.line(name, "refuses " + task + " run " + number + ": late");
      return clockAnd(409, "late");
    }
    String spec = Json.text(body, "spec");
    long ms = specNumber(spec, "ms", 100);
    Run run = new Run(task, number, spec, specNumber(spec, "cpu", 0), id, nowMs(), ms);
    running.put(task, run);
    history.add(run);
    record.line(name, "starts " + task + " run " + number + " [" + spec + "]");
    onStart(run);
    scheduleCheck(run.endsAtMs);
    return clockAnd(200, "");
  }

  /** Called for each start, under the lock of this worker. */
  void onStart(Run run) {}

  static long specNumber(String spec, String field, long missing) {
    for (String word : spec.split(" ")) {
      if (word.startsWith(field + "=")) {
        return Long.parseLong(word.substring(field.length() + 1));
      }
    }
    return missing;
  }

  private byte[] stopRun(String body) {
    String task = Json.text(body, "task");
    long number = Json.number(body, "run", 0);
    if (fenced(body)) {
      return clockAnd(409, "fence");
    }
    invalid.merge(task, number, Math::max);
    Run current = running.get(task);
    if (current != null && current.number == number && current.how.equals("done")) {
      current.how = "stopped";
      current.endsAtMs = Math.min(current.endsAtMs, nowMs() + stopMs());
      scheduleCheck(current.endsAtMs);
    }
    return clockAnd(200, "");
  }

  private byte[] hold(String body) {
    if (fenced(body)) {
      return clockAnd(409, "fence");
    }
    extendLease(body);
    long lastSeen = Json.number(body, "last-seen", 0);
    ends.removeIf(end -> end.n <= lastSeen);
    long untilMs = nowMs() + Math.min(2_000, Json.number(body, "wait-ms", 0));
    String life = id;
    while (ends.isEmpty() && up && nowMs() < untilMs) {
      try {
        wait(Math.max(1, untilMs - nowMs()));
      } catch (InterruptedException e) {
        break;
      }
      if (!up || !life.equals(id)) {
        return new byte[0];
      }
      endDue();
    }
    StringBuilder rows = new StringBuilder();
    for (Run run : running.values()) {
      long percent =
          Math.clamp(
              100 * (nowMs() - run.startedAtMs) / Math.max(1, run.endsAtMs - run.startedAtMs),
              0,
              100);
      rows.append(rows.isEmpty() ? "" : ",");
      rows.append("[\"%s\",%d,\"\",%d]".formatted(run.task, run.number, percent));
    }
    StringBuilder finished = new StringBuilder();
    for (End end : ends.subList(0, Math.min(500, ends.size()))) {
      finished.append(finished.isEmpty() ? "" : ",");
      finished.append(
          "[%d,\"%s\",%d,\"%s\",\"\"]"
              .formatted(end.n, end.run.task, end.run.number, end.run.how));
    }
    return Http.response(
        200,
        "{\"wall-clock-ms\":%d,\"running\":[%s],\"finished\":[%s]}"
            .formatted(clockMs(), rows, finished));
  }

  /** Ends the runs that are due, each at its own time. */
  private void endDue() {
    long now = nowMs();
    List<Run> due =
        running.values().stream()
            .filter(run -> Math.min(run.endsAtMs, leaseEndsAtMs) <= now)
            .sorted(Comparator.comparingLong(run -> run.endsAtMs))
            .toList();
    for (Run run : due) {
      running.remove(run.task);
      invalid.merge(run.task, run.number, Math::max);
      if (leaseEndsAtMs < run.endsAtMs) {
        run.how = "lapsed";
      }
      run.endedAtMs = now;
      ends.add(new End(++endCount, run));
      record.line(name, "ends " + run.task + " run " + run.number + " " + run.how);
    }
    if (!due.isEmpty()) {
      notifyAll();
    }
  }
}
