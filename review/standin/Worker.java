import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A worker as PROTOCOL.md describes it (no gangs, checkpoints or paces). A task runs for the time
 * that its spec names as "ms=N". Each start is compared with what runs on all workers.
 */
final class Worker implements AutoCloseable {
  private static final long MAX_LEASE_MS = 1_000;

  private record Run(String task, long number, long startedAtMs, long runMs) {}

  private record End(long number, String task, long run, String how) {}

  private final String id;
  private final String ip;
  private final String zone;
  private final Record record;
  private final Map<String, List<String>> runningEverywhere;
  private final HttpServer server;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Long> highestOver = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long lastEnd;
  private long token;
  private long leaseUntilMs;
  private long seq;
  private volatile boolean closed;

  /** All workers of a deployment share the map of what runs where, by task. */
  static Map<String, List<String>> newBoard() {
    return new ConcurrentHashMap<>();
  }

  Worker(String id, Fleet.Node host, Record record, Map<String, List<String>> board)
      throws IOException {
    this.id = id;
    this.ip = host.ip;
    this.zone = host.zone;
    this.record = record;
    this.runningEverywhere = board;
    this.server = HttpServer.create(new InetSocketAddress(ip, Fleet.APP), 64);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
    Thread.ofVirtual().start(this::clock);
    Thread.ofVirtual().start(this::heartbeats);
  }

  private static long now() {
    return System.currentTimeMillis();
  }

  private void clock() {
    while (!closed) {
      synchronized (this) {
        endDue();
      }
      sleep(2);
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void endDue() {
    long nowMs = now();
    for (Run run : List.copyOf(running.values())) {
      if (nowMs >= run.startedAtMs + run.runMs) {
        end(run, "done");
      } else if (nowMs >= leaseUntilMs) {
        end(run, "lapsed");
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    runningEverywhere.get(run.task).remove(id);
    highestOver.merge(run.task, run.number, Math::max);
    ends.add(new End(++lastEnd, run.task, run.number, how));
    record.add("worker " + id + " end " + run.task + " run " + run.number + " " + how);
    notifyAll();
  }

  private void heartbeats() {
    while (!closed) {
      String body =
          "{\"service\":\"desk\",\"addr\":\"" + ip + ":" + Fleet.APP + "\",\"zone\":\"" + zone
              + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,"
              + "\"capacity\":{\"cpu\":32000,\"mem-mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
              + "\"wall-clock-ms\":" + now() + ",\"seq\":" + ++seq + "}";
      try {
        Web.call(ip, Fleet.CONTROL, "POST", "/Instances.Heartbeat/" + id, ip, body, 1_000);
        sleep(1_500);
      } catch (IOException e) {
        sleep(300);
      }
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    String body =
        new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    String expected = exchange.getRequestHeaders().getFirst("X-Hingehoist-Expect-Instance");
    Web.Answer answer;
    if (expected != null && !expected.equals(id)) {
      answer = new Web.Answer(421, "{}");
    } else {
      answer =
          switch (exchange.getRequestURI().getPath()) {
            case "/run-start" -> start(body);
            case "/run-stop" -> stop(body);
            case "/hold" -> hold(body);
            case "/health" -> new Web.Answer(200, "{}");
            default -> new Web.Answer(404, "{}");
          };
    }
    byte[] content = answer.body().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(answer.status(), content.length);
    exchange.getResponseBody().write(content);
    exchange.close();
  }

  private static long number(String body, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(body);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  private static String text(String body, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(body);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static Web.Answer answer(int status, String rest) {
    return new Web.Answer(status, "{\"wall-clock-ms\":" + now() + rest + "}");
  }

  private boolean fenced(String body) {
    long seen = number(body, "fencing-token");
    if (seen < token) {
      return true;
    }
    token = seen;
    return false;
  }

  private void takeDeadline(String body) {
    long deadlineMs = Math.min(number(body, "deadline-ms"), now() + MAX_LEASE_MS);
    leaseUntilMs = Math.max(leaseUntilMs, deadlineMs);
  }

  private synchronized Web.Answer start(String body) {
    endDue();
    if (fenced(body)) {
      return answer(409, ",\"reason\":\"fence\"");
    }
    String task = text(body, "task");
    long number = number(body, "run");
    if (number(body, "deadline-ms") <= now()) {
      return answer(409, ",\"reason\":\"late\"");
    }
    takeDeadline(body);
    Run current = running.get(task);
    if (current != null && current.number == number) {
      return answer(200, "");
    }
    if (current != null || number <= highestOver.getOrDefault(task, 0L)) {
      return answer(409, ",\"reason\":\"old\"");
    }
    Matcher runMs = Pattern.compile("ms=(\\d+)").matcher(text(body, "spec"));
    runMs.find();
    running.put(task, new Run(task, number, now(), Long.parseLong(runMs.group(1))));
    record.add("worker " + id + " start " + task + " run " + number);
    synchronized (runningEverywhere) {
      List<String> where = runningEverywhere.computeIfAbsent(task, t -> new ArrayList<>());
      if (!where.isEmpty()) {
        record.broken("TWICE " + task + " starts on " + id + " while it runs on " + where);
      }
      where.add(id);
    }
    return answer(200, "");
  }

  private synchronized Web.Answer stop(String body) {
    endDue();
    if (fenced(body)) {
      return answer(409, ",\"reason\":\"fence\"");
    }
    String task = text(body, "task");
    long number = number(body, "run");
    highestOver.merge(task, number, Math::max);
    Run current = running.get(task);
    if (current != null && current.number == number) {
      end(current, "stopped");
    }
    return answer(200, "");
  }

  private synchronized Web.Answer hold(String body) {
    endDue();
    if (fenced(body)) {
      return answer(409, ",\"reason\":\"fence\"");
    }
    takeDeadline(body);
    long lastSeen = number(body, "last-seen");
    ends.removeIf(end -> end.number <= lastSeen);
    long untilMs = now() + Math.min(2_000, number(body, "wait-ms"));
    while (ends.isEmpty() && now() < untilMs && !closed) {
      try {
        wait(Math.max(1, untilMs - now()));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    StringBuilder lists = new StringBuilder(",\"running\":[");
    for (Run run : running.values()) {
      long percent = Math.min(99, 100 * (now() - run.startedAtMs) / run.runMs);
      lists.append(lists.charAt(lists.length() - 1) == '[' ? "" : ",");
      lists.append("[\"%s\",%d,\"\",%d,0]".formatted(run.task, run.number, percent));
    }
    lists.append("],\"finished\":[");
    for (End end : ends) {
      lists.append(lists.charAt(lists.length() - 1) == '[' ? "" : ",");
      lists.append("[%d,\"%s\",%d,\"%s\",\"\"]".formatted(end.number, end.task, end.run, end.how));
    }
    return answer(200, lists.append("]").toString());
  }

  @Override
  public void close() {
    closed = true;
    server.stop(0);
  }
}
