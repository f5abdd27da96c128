import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's own programs, started as separate
 * processes with the commands, variables and settings templates of the deploy file, and stand-ins
 * for workers, clients, the operator and the platform that follow the users' pages.
 */
final class Stage implements AutoCloseable {
  static final int FRONT = 8161;
  static final int WORKER = 8165;
  static final int DOOR = 8166;
  static final int READY = 8167;
  static final int PEER = 7720;
  static final int METRICS = 9464;
  static final String SERVICE = "portage";
  static final String HOST = "nony24.example";
  static final String PREFIX = "/lohu930/";

  /** A role of the deploy file. */
  record Role(List<String> run, Map<String, String> env, Path template) {}

  final Path root = Path.of("").toAbsolutePath();
  final Path folder;
  final PrintWriter record;
  final long startNanos = System.nanoTime();
  final Map<String, Role> roles = new HashMap<>();
  final List<Node> controls = new ArrayList<>();
  final List<Node> owners = new ArrayList<>();
  final List<Node> hosts = new ArrayList<>();
  final Map<String, Worker> workers = new LinkedHashMap<>();

  /** The accelerators of a host's worker, where it has any. */
  final Map<String, Long> gpusByHost = new HashMap<>();

  /** The hosts whose workers are not there from the beginning. */
  final Set<String> addedLater = new HashSet<>();

  final String net;
  final int tolerated;
  List<String> seeds = List.of();

  private Stage(Path recordFile, int tolerated) throws IOException {
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    this.folder = Files.createTempDirectory("hingehoist-review");
    this.tolerated = tolerated;
    this.net = freeNet();
    readDeployFile();
  }

  /** The processes that were started, so that none outlives this one. */
  private static final Queue<Process> STARTED = new ConcurrentLinkedQueue<>();

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
  }

  /** Prepares a deployment with one availability zone. Nothing is started yet. */
  static Stage create(Path recordFile, int controls, int owners, int hosts) throws IOException {
    Stage stage = new Stage(recordFile, controls / 2);
    for (int i = 1; i <= controls; i++) {
      stage.controls.add(stage.new Node("core-" + i, "control", stage.net + ".1" + i));
    }
    for (int i = 1; i <= owners; i++) {
      stage.owners.add(stage.new Node("edge-" + i, "owner", stage.net + ".2" + i));
    }
    for (int i = 1; i <= hosts; i++) {
      stage.hosts.add(stage.new Node("side-" + i, "host", stage.net + ".3" + i));
    }
    stage.seeds =
        stage.controls.stream().limit(3).map(node -> node.ip + ':' + DOOR).toList();
    return stage;
  }

  /** Starts all processes and workers, sends the first configuration, waits until edges are ready. */
  void start(String configuration) throws Exception {
    for (Node node : all()) {
      node.start(true);
    }
    for (Node host : hosts) {
      if (!addedLater.contains(host.name)) {
        startWorker(host.name);
      }
    }
    await("the first configuration", 30_000, () -> putConfiguration(configuration) == 200);
    for (Node owner : owners) {
      await(owner.name + " ready", 30_000, () -> isReady(owner));
    }
    Thread.sleep(1_500);
  }

  /** Starts the worker of a host. */
  void startWorker(String name) throws IOException {
    Node host = hosts.stream().filter(node -> node.name.equals(name)).findFirst().orElseThrow();
    Worker worker =
        new Worker(this, name.replace("side", "i"), host.ip, gpusByHost.getOrDefault(name, 0L));
    workers.put(name, worker);
    worker.start();
  }

  List<Node> all() {
    return Stream.of(controls, owners, hosts).flatMap(List::stream).toList();
  }

  // Record.

  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void log(String format, Object... arguments) {
    record.printf("%9.3f  %s%n", nowMs() / 1_000.0, format.formatted(arguments));
  }

  // The deploy file, read as far as its own form needs it.

  private void readDeployFile() throws IOException {
    String role = "";
    Map<String, Map<String, String>> lines = new LinkedHashMap<>();
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      Matcher section = Pattern.compile("^\\[roles\\.([a-z]+)]").matcher(line);
      Matcher field = Pattern.compile("^([a-z]+) *= *(.*)$").matcher(line);
      if (section.find()) {
        role = section.group(1);
        lines.put(role, new HashMap<>());
      } else if (!role.isEmpty() && field.find()) {
        lines.get(role).put(field.group(1), field.group(2).trim());
      }
    }
    for (Map.Entry<String, Map<String, String>> entry : lines.entrySet()) {
      Map<String, String> fields = entry.getValue();
      Map<String, String> env = new LinkedHashMap<>();
      Matcher variable =
          Pattern.compile("([A-Z0-9_]+) *= *\"([^\"]*)\"").matcher(fields.getOrDefault("env", ""));
      while (variable.find()) {
        env.put(variable.group(1), variable.group(2));
      }
      roles.put(
          entry.getKey(),
          new Role(
              List.of(unquote(fields.get("run")).split(" ")),
              env,
              root.resolve(unquote(fields.get("template")))));
    }
  }

  private static String unquote(String text) {
    return text.substring(1, text.lastIndexOf('"'));
  }

  // Loopback addresses.

  private static String freeNet() throws IOException {
    Random random = new Random();
    for (int attempt = 0; attempt < 50; attempt++) {
      String net = "127." + (20 + random.nextInt(200)) + '.' + (1 + random.nextInt(250));
      if (isFree(net + ".11", DOOR) && isFree(net + ".21", FRONT) && isFree(net + ".31", PEER)) {
        return net;
      }
    }
    throw new IOException("no free loopback network");
  }

  private static boolean isFree(String ip, int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  // Processes.

  /** A machine with one process. */
  final class Node {
    final String name;
    final String role;
    final String ip;
    Process process;

    Node(String name, String role, String ip) {
      this.name = name;
      this.role = role;
      this.ip = ip;
    }

    void start(boolean bootstrap) throws IOException {
      Role deployed = roles.get(role);
      Map<String, Object> fields = fields(bootstrap);
      Path home = Files.createDirectories(folder.resolve(name));
      Path settings = home.resolve("settings.yaml");
      Files.writeString(settings, fill(Files.readString(deployed.template()), fields));
      List<String> command = new ArrayList<>();
      for (String word : deployed.run()) {
        command.add(fill(word, fields));
      }
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .directory(root.toFile())
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(home.resolve("log").toFile()));
      deployed.env().forEach((key, value) -> builder.environment().put(key, fill(value, fields)));
      builder.environment().put("HINGEHOIST_CONFIG", settings.toString());
      process = builder.start();
      STARTED.add(process);
    }

    private Map<String, Object> fields(boolean bootstrap) {
      Map<String, Object> fields = new HashMap<>();
      fields.put("node", name);
      fields.put("zone", "mtl-est");
      fields.put("ip", ip);
      // The pages name no such field, so that its gap stays empty.
      fields.put("service", "");
      fields.put("bootstrap", bootstrap);
      fields.put("seeds", seeds);
      fields.put("port-range", List.of(PEER, PEER + 15));
      fields.put("data-dir", folder.resolve(name).resolve("data").toString());
      fields.put("tolerate.machines", tolerated);
      fields.put("listen.front", ip + ':' + FRONT);
      fields.put("listen.ready", ip + ':' + READY);
      fields.put("listen.control", ip + ':' + DOOR);
      fields.put("limits.max-fds", role.equals("owner") ? 4_100 : 4_096);
      fields.put("bounds.retransmit-ms", 1_300);
      fields.put("bounds.max-lease-ms", 1_000);
      fields.put("bounds.kill-grace-ms", 50);
      fields.put("bounds.grace-s", 6);
      return fields;
    }

    void signal(String name) throws Exception {
      log("platform: SIG%s to %s", name, this.name);
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean runs() {
      return process != null && process.isAlive();
    }
  }

  /** Fills the gaps of a text as the platform does, as far as this project's templates use them. */
  static String fill(String text, Map<String, Object> fields) {
    Matcher block =
        Pattern.compile("\\{\\{#([a-z.-]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(text);
    StringBuilder filled = new StringBuilder();
    while (block.find()) {
      Object value = fields.get(block.group(1));
      StringBuilder body = new StringBuilder();
      if (value instanceof List<?> list) {
        for (int i = 0; i < list.size(); i++) {
          String comma = i + 1 < list.size() ? ", " : "";
          body.append(
              block.group(2).replace("{{.}}", list.get(i).toString()).replace("{{,}}", comma));
        }
      } else if (Boolean.TRUE.equals(value)) {
        body.append(block.group(2));
      }
      block.appendReplacement(filled, Matcher.quoteReplacement(body.toString()));
    }
    block.appendTail(filled);
    Matcher gap = Pattern.compile("\\{\\{([a-z.-]+?)(?:\\.([0-9]+))?}}").matcher(filled.toString());
    StringBuilder result = new StringBuilder();
    while (gap.find()) {
      Object value = fields.get(gap.group(1));
      if (value instanceof List<?> list && gap.group(2) != null) {
        value = list.get(Integer.parseInt(gap.group(2)));
      }
      if (value == null) {
        throw new IllegalStateException("no field " + gap.group());
      }
      gap.appendReplacement(result, Matcher.quoteReplacement(value.toString()));
    }
    gap.appendTail(result);
    return result.toString();
  }

  // The platform and the operator.

  boolean isReady(Node owner) {
    try (Client client = new Client(owner.ip, READY)) {
      return client.call("GET", "/ready", Map.of(), "", 1_000).status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** A configuration with one route of one service. */
  static String configuration(long version, long timeoutMs) {
    return ("{\"version\":%d,\"routes\":[{\"name\":\"r-3hwrr6x\",\"host\":\"%s\",\"prefix\":\"%s\","
            + "\"kind\":\"unsafe\",\"timeout-ms\":%d,\"slo-ms\":60,\"priority\":0,\"service\":\"%s\","
            + "\"attempts\":3,\"stretch\":1.6}],\"services\":[{\"name\":\"%s\",\"health-path\":"
            + "\"/health\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\"constraints\":false,"
            + "\"headroom\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}")
        .formatted(version, HOST, PREFIX, timeoutMs, SERVICE, SERVICE);
  }

  /** Sends a configuration to one node after the other until one takes it; returns the last status. */
  int putConfiguration(String body) {
    int status = 0;
    List<Integer> statuses = new ArrayList<>();
    for (Node control : controls) {
      status = operate(control.ip + ':' + DOOR, "POST", "/Config.Put", body).status;
      statuses.add(status);
      if (status == 200) {
        break;
      }
    }
    log("operator: configuration -> %s", statuses);
    return status;
  }

  /** Makes a call of the operator, which follows two redirects. */
  Answer operate(String address, String method, String path, String body) {
    String at = address;
    Answer answer = Answer.none("not sent");
    for (int hop = 0; hop < 3; hop++) {
      int colon = at.indexOf(':');
      String ip = at.substring(0, colon);
      try (Client client = new Client(ip, Integer.parseInt(at.substring(colon + 1)))) {
        answer = client.call(method, path, Map.of("Host", at), body, 1_000);
      } catch (IOException e) {
        return Answer.none(e.toString());
      }
      if (answer.status != 307) {
        return answer;
      }
      at = answer.headers.get("location").replaceAll("^http://([^/]+)/.*$", "$1");
    }
    return answer;
  }

  void await(String what, long timeoutMs, BooleanSupplier condition) throws Exception {
    long untilMs = nowMs() + timeoutMs;
    while (!condition.getAsBoolean()) {
      if (nowMs() > untilMs) {
        throw new CannotRun("no " + what + " within " + timeoutMs + " ms");
      }
      Thread.sleep(100);
    }
  }

  /** The case could not be run. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1;

    CannotRun(String message) {
      super(message);
    }
  }

  @Override
  public void close() throws Exception {
    workers.values().forEach(Worker::stop);
    for (Node node : all()) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
    for (Node node : all()) {
      if (node.process != null) {
        node.process.waitFor(5, TimeUnit.SECONDS);
      }
    }
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    } else {
      System.err.println("kept " + folder);
    }
    record.close();
  }

  // Clients.

  /** The answer to a call; status 0 if the connection ended without a whole answer. */
  static final class Answer {
    final int status;
    final Map<String, String> headers;
    final String body;
    final long atMs;

    Answer(int status, Map<String, String> headers, String body, long atMs) {
      this.status = status;
      this.headers = headers;
      this.body = body;
      this.atMs = atMs;
    }

    static Answer none(String reason) {
      return new Answer(0, Map.of(), reason, 0);
    }

    @Override
    public String toString() {
      return status == 0 ? "no answer (" + body + ")" : status + " " + body;
    }
  }

  /** A connection of a client, which stays open for further calls. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();

    Client(String ip, int port) throws IOException {
      socket.connect(new InetSocketAddress(ip, port), 1_000);
      socket.setTcpNoDelay(true);
    }

    Answer call(String method, String path, Map<String, String> headers, String body, int timeoutMs)
        throws IOException {
      send(method, path, headers, body);
      return receive(timeoutMs);
    }

    void send(String method, String path, Map<String, String> headers, String body)
        throws IOException {
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\n");
      if (!headers.containsKey("Host")) {
        head.append("Host: " + HOST + "\r\n");
      }
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      if (bytes.length > 0 || method.equals("POST")) {
        head.append("Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n");
      }
      head.append("\r\n");
      OutputStream out = socket.getOutputStream();
      byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
      byte[] whole = new byte[headBytes.length + bytes.length];
      System.arraycopy(headBytes, 0, whole, 0, headBytes.length);
      System.arraycopy(bytes, 0, whole, headBytes.length, bytes.length);
      out.write(whole);
      out.flush();
    }

    /** Waits for an answer; the answer has status 0 if the connection ends or the time passes. */
    Answer receive(int timeoutMs) {
      try {
        socket.setSoTimeout(timeoutMs);
        InputStream in = socket.getInputStream();
        Map<String, String> headers = new TreeMap<>();
        String statusLine = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
          int colon = line.indexOf(':');
          headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
          return Answer.none("the connection ended within the answer");
        }
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        return new Answer(status, headers, new String(body, StandardCharsets.UTF_8), 0);
      } catch (SocketTimeoutException e) {
        return Answer.none("time passed");
      } catch (IOException e) {
        return Answer.none(e.getMessage());
      }
    }

    private static String line(InputStream in) throws IOException {
      StringBuilder line = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          throw new IOException("the connection was closed");
        }
        if (c != '\r') {
          line.append((char) c);
        }
      }
      return line.toString();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // Workers.

  /** A worker as the pages tell it: it keeps numbers, tokens and its lease on a clock of its own. */
  static final class Worker {
    private static final long MAX_LEASE_MS = 1_000;
    private static final long STOP_MS = 20;
    private static final long CPU = 16_000;

    private static final class Run {
      final String task;
      final long number;
      final long startedAtMs;
      final long endsAtMs;
      final String end;
      long stopsAtMs = Long.MAX_VALUE;

      Run(String task, long number, long nowMs, long durationMs, String end) {
        this.task = task;
        this.number = number;
        this.startedAtMs = nowMs;
        this.endsAtMs = nowMs + durationMs;
        this.end = end;
      }
    }

    private record Ended(long n, String task, long number, String how) {}

    /** How long a task takes by its name, in milliseconds; negative if it fails then. */
    static volatile Function<String, Long> durations = task -> 100L;

    final Stage stage;
    final String id;
    final String ip;
    private final long gpus;
    private final long bornNanos = System.nanoTime() - TimeUnit.SECONDS.toNanos(400);
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> closedNumbers = new HashMap<>();
    private final List<Ended> ended = new ArrayList<>();
    private long endCount;
    private long token;
    private long leaseEndMs;
    private long seq;
    private HttpServer server;
    private volatile boolean stopped;

    /** When the last task was started here; -1 before the first. */
    volatile long lastStartAtMs = -1;

    Worker(Stage stage, String id, String ip, long gpus) {
      this.stage = stage;
      this.id = id;
      this.ip = ip;
      this.gpus = gpus;
    }

    void start() throws IOException {
      server = HttpServer.create(new InetSocketAddress(ip, WORKER), 128);
      server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
      server.createContext("/", this::handle);
      server.start();
      Thread.ofVirtual().start(this::beat);
      Thread.ofVirtual().start(this::live);
    }

    void stop() {
      stopped = true;
      server.stop(0);
    }

    boolean isLost() {
      return stopped;
    }

    /** Returns the tasks of a job that run here. */
    synchronized List<String> runningOf(String job) {
      return stopped
          ? List.of()
          : running.keySet().stream().filter(task -> task.startsWith(job)).toList();
    }

    private long clockMs() {
      return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private void beat() {
      while (!stopped) {
        String body =
            ("{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"mtl-est\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,\"capacity\":{\"cpu\":%d,"
                    + "\"mem-mb\":65536,\"gpu\":%d},\"labels\":[\"a\",\"r1-1\"],\"wall-clock-ms\":%d,"
                    + "\"seq\":%d}")
                .formatted(SERVICE, ip, WORKER, CPU, gpus, clockMs(), ++seq);
        try (Client client = new Client(ip, DOOR)) {
          client.call("POST", "/Instances.Heartbeat/" + id, Map.of(), body, 1_000);
        } catch (IOException e) {
          // The host is down; the next heartbeat follows.
        }
        sleep(1_500);
      }
    }

    private void live() {
      while (!stopped) {
        sleep(2);
        endDue();
      }
    }

    private synchronized void endDue() {
      long now = clockMs();
      for (Run run : List.copyOf(running.values())) {
        if (now >= leaseEndMs) {
          end(run, "lapsed");
        } else if (now >= run.stopsAtMs) {
          end(run, "stopped");
        } else if (now >= run.endsAtMs) {
          end(run, run.end);
        }
      }
    }

    private void end(Run run, String how) {
      running.remove(run.task);
      closedNumbers.merge(run.task, run.number, Math::max);
      ended.add(new Ended(++endCount, run.task, run.number, how));
      stage.log("worker %s: end of %s run %d: %s", id, run.task, run.number, how);
      notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
      try (exchange) {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        String life = exchange.getRequestHeaders().getFirst("X-Hingehoist-Expect-Instance");
        String[] answer;
        if (life != null && !life.equals(id)) {
          answer = new String[] {"421", ""};
        } else {
          answer =
              switch (path) {
                case "/run-start" -> runStart(body);
                case "/run-stop" -> runStop(body);
                case "/hold" -> hold(body);
                case "/health" -> new String[] {"200", ""};
                default -> new String[] {"404", ""};
              };
        }
        byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(
            Integer.parseInt(answer[0]), bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
      }
    }

    private String[] refuse(String reason) {
      return new String[] {
        "409", "{\"wall-clock-ms\":%d,\"reason\":\"%s\"}".formatted(clockMs(), reason)
      };
    }

    private String[] done() {
      return new String[] {"200", "{\"wall-clock-ms\":%d}".formatted(clockMs())};
    }

    private synchronized String[] runStart(String body) {
      long now = clockMs();
      if (number(body, "fencing-token") < token) {
        return refuse("fence");
      }
      token = number(body, "fencing-token");
      long deadline = number(body, "deadline-ms");
      if (deadline <= now) {
        return refuse("late");
      }
      leaseEndMs = Math.max(leaseEndMs, Math.min(deadline, now + MAX_LEASE_MS));
      String task = text(body, "task");
      long number = number(body, "run");
      Run present = running.get(task);
      if (present != null && present.number == number) {
        return done();
      }
      if (number <= closedNumbers.getOrDefault(task, 0L) || present != null) {
        return refuse("old");
      }
      long durationMs = durations.apply(task);
      running.put(
          task,
          new Run(task, number, now, Math.abs(durationMs), durationMs < 0 ? "failed" : "done"));
      lastStartAtMs = stage.nowMs();
      stage.log("worker %s: start of %s run %d", id, task, number);
      return done();
    }

    private synchronized String[] runStop(String body) {
      if (number(body, "fencing-token") < token) {
        return refuse("fence");
      }
      token = number(body, "fencing-token");
      String task = text(body, "task");
      long number = number(body, "run");
      Run present = running.get(task);
      if (present != null && present.number == number) {
        present.stopsAtMs = Math.min(present.stopsAtMs, clockMs() + STOP_MS);
      } else {
        closedNumbers.merge(task, number, Math::max);
      }
      return done();
    }

    private synchronized String[] hold(String body) {
      if (number(body, "fencing-token") < token) {
        return refuse("fence");
      }
      token = number(body, "fencing-token");
      long deadline = number(body, "deadline-ms");
      if (deadline > 0) {
        leaseEndMs = Math.max(leaseEndMs, Math.min(deadline, clockMs() + MAX_LEASE_MS));
      }
      long lastSeen = number(body, "last-seen");
      ended.removeIf(end -> end.n() <= lastSeen);
      long untilMs = clockMs() + Math.min(2_000, number(body, "wait-ms"));
      while (ended.isEmpty() && clockMs() < untilMs && !stopped) {
        try {
          wait(Math.max(1, untilMs - clockMs()));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      List<String> rows = new ArrayList<>();
      for (Run run : running.values()) {
        long percent =
            (clockMs() - run.startedAtMs) * 100 / Math.max(1, run.endsAtMs - run.startedAtMs);
        rows.add(
            "[\"%s\",%d,\"\",%d,1000]".formatted(run.task, run.number, Math.min(99, percent)));
      }
      List<String> ends = new ArrayList<>();
      for (Ended end : ended.subList(0, Math.min(500, ended.size()))) {
        ends.add(
            "[%d,\"%s\",%d,\"%s\",\"\"]".formatted(end.n(), end.task(), end.number(), end.how()));
      }
      return new String[] {
        "200",
        "{\"wall-clock-ms\":%d,\"running\":[%s],\"finished\":[%s]}"
            .formatted(clockMs(), String.join(",", rows), String.join(",", ends))
      };
    }

    private static long number(String body, String field) {
      Matcher matcher = Pattern.compile("\"" + field + "\":([0-9]+)").matcher(body);
      return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private static String text(String body, String field) {
      Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(body);
      return matcher.find() ? matcher.group(1) : "";
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
