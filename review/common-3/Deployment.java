import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own programs as separate processes on loopback addresses: core machines, edge
 * machines and side machines, each with an address of its own. The commands are the `run` lines of
 * deploy/system.toml, the settings are made from the templates of the same file.
 */
final class Deployment implements AutoCloseable {
  static final int PEER_PORT = 17720;
  static final int CONTROL_PORT = 18166;
  static final int FRONT_PORT = 18161;
  static final int READY_PORT = 18167;
  static final int WORKER_PORT = 18165;
  static final int METRICS_PORT = 9464;
  static final String SERVICE = "pullgate";

  /** A machine of the deployment, with the one process that runs on it. */
  static final class Machine {
    final String name;
    final String role;
    final String ip;
    final Path folder;
    final List<String> command;
    private Process process;
    private int starts;
    private final java.util.Set<Process> endedByTest =
        java.util.concurrent.ConcurrentHashMap.newKeySet();

    /** The number of times that the process ended by itself. */
    volatile int ownEnds;

    volatile int lastExit;

    Machine(String name, String role, String ip, Path folder, List<String> command) {
      this.name = name;
      this.role = role;
      this.ip = ip;
      this.folder = folder;
      this.command = command;
    }
  }

  final Log record;
  final Map<String, Machine> machines = new LinkedHashMap<>();
  final Path folder;
  private final String net;
  private final Path root = Path.of("").toAbsolutePath();
  private final Map<String, Map<String, String>> roles = new LinkedHashMap<>();
  private final int tolerated;
  private final Map<String, String> overrides;
  private final List<Process> processes = new ArrayList<>();
  private volatile boolean closed;

  /** The delay after which the platform starts a process that ended again. */
  static final long RESTART_DELAY_MS = 300;

  Deployment(Log record, int cores, int edges, int sides) throws IOException {
    this(record, cores, edges, sides, Map.of());
  }

  Deployment(Log record, int cores, int edges, int sides, Map<String, String> overrides)
      throws IOException {
    this.record = record;
    this.overrides = overrides;
    this.tolerated = (cores - 1) / 2;
    this.folder = Files.createTempDirectory("review-3-");
    this.net = freeNetwork();
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    readRoles();
    for (int i = 1; i <= cores; i++) {
      add("core-" + i, "control", net + ".1." + i);
    }
    for (int i = 1; i <= edges; i++) {
      add("edge-" + i, "owner", net + ".2." + i);
    }
    for (int i = 1; i <= sides; i++) {
      add("side-" + i, "host", net + ".3." + i);
    }
  }

  /** Returns a loopback network (127.x) on which the ports are free. */
  private static String freeNetwork() throws IOException {
    Random random = new Random();
    for (int i = 0; i < 50; i++) {
      String candidate = "127." + (20 + random.nextInt(200));
      if (isFree(candidate + ".1.1", PEER_PORT)
          && isFree(candidate + ".1.1", CONTROL_PORT)
          && isFree(candidate + ".2.1", FRONT_PORT)
          && isFree(candidate + ".3.1", CONTROL_PORT)) {
        return candidate;
      }
    }
    throw new IOException("no free loopback network");
  }

  private static boolean isFree(String ip, int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void readRoles() throws IOException {
    Map<String, String> current = null;
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      Matcher section = Pattern.compile("\\[roles\\.([a-z]+)]").matcher(line);
      Matcher field = Pattern.compile("([a-z]+) = \"(.*)\"").matcher(line);
      if (section.matches()) {
        current = new LinkedHashMap<>();
        roles.put(section.group(1), current);
      } else if (current != null && field.matches()) {
        current.put(field.group(1), field.group(2));
      }
    }
  }

  private void add(String name, String role, String ip) throws IOException {
    Path machineFolder = Files.createDirectories(folder.resolve(name));
    List<String> command = List.of(roles.get(role).get("run").split(" "));
    machines.put(name, new Machine(name, role, ip, machineFolder, command));
  }

  List<Machine> of(String role) {
    return machines.values().stream().filter(m -> m.role.equals(role)).toList();
  }

  Machine machine(String name) {
    return machines.get(name);
  }

  // Settings, as DEPLOY.md tells them.

  private List<String> seeds() {
    return of("control").stream().limit(3).map(m -> m.ip + ":" + CONTROL_PORT).toList();
  }

  private Map<String, Object> fields(Machine machine, boolean bootstrap) {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("node", machine.name);
    all.put("zone", "delta-east");
    all.put("ip", machine.ip);
    all.put("seeds", seeds());
    all.put("port-range.0", PEER_PORT);
    all.put("bootstrap", bootstrap);
    all.put("service", SERVICE);
    all.put("data-dir", machine.folder.resolve("data").toString());
    all.put("listen.control", machine.ip + ":" + CONTROL_PORT);
    all.put("listen.front", machine.ip + ":" + FRONT_PORT);
    all.put("listen.ready", machine.ip + ":" + READY_PORT);
    all.put("tolerate.machines", tolerated);
    all.put("bounds.retransmit-ms", 1300);
    all.put("bounds.max-lease-ms", 1000);
    all.put("bounds.kill-grace-ms", 50);
    all.put("bounds.grace-s", 6);
    all.put("limits.max-fds", 4096);
    return all;
  }

  /** Writes the settings of a machine from the template of its role. */
  void writeSettings(Machine machine, boolean bootstrap) throws IOException {
    String text = Files.readString(root.resolve(roles.get(machine.role).get("template")));
    Files.writeString(machine.folder.resolve("boot.yaml"), fill(text, fields(machine, bootstrap)));
  }

  /** Fills a template: sections for lists and flags, then single values. */
  private static String fill(String template, Map<String, Object> fields) {
    String text = template;
    Matcher section = Pattern.compile("\\{\\{#([a-z.-]+)}}(.*?)\\{\\{/\\1}}").matcher(text);
    text =
        section.replaceAll(
            match -> {
              Object value = fields.get(match.group(1));
              String inner = match.group(2);
              if (value instanceof List<?> list) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < list.size(); i++) {
                  all.append(
                      inner
                          .replace("{{.}}", String.valueOf(list.get(i)))
                          .replace("{{,}}", i + 1 < list.size() ? "," : ""));
                }
                return Matcher.quoteReplacement(all.toString());
              }
              return Matcher.quoteReplacement(Boolean.TRUE.equals(value) ? inner : "");
            });
    Matcher single = Pattern.compile("\\{\\{([a-z0-9.-]+)}}").matcher(text);
    return single.replaceAll(
        match -> {
          String name = match.group(1);
          Object value = fields.get(name);
          if (value == null && name.matches("[a-z]+\\.\\d+")) {
            List<?> list = (List<?>) fields.get(name.substring(0, name.indexOf('.')));
            value = list.get(Integer.parseInt(name.substring(name.indexOf('.') + 1)));
          }
          return Matcher.quoteReplacement(String.valueOf(value));
        });
  }

  // Processes.

  void startAll(boolean bootstrap) throws IOException {
    for (Machine machine : machines.values()) {
      start(machine, bootstrap);
    }
  }

  synchronized void start(Machine machine, boolean bootstrap) throws IOException {
    if (closed) {
      return;
    }
    writeSettings(machine, bootstrap);
    if (machine.role.equals("control")) {
      Files.createDirectories(machine.folder.resolve("data"));
    }
    ProcessBuilder builder = new ProcessBuilder(machine.command);
    builder.directory(root.toFile());
    Map<String, String> env = builder.environment();
    env.put("HINGEHOIST_CONFIG", machine.folder.resolve("boot.yaml").toString());
    env.put("HINGEHOIST_MAX_DESCRIPTORS", "4096");
    env.put("JAVA_TOOL_OPTIONS", "-XX:+UseSerialGC -XX:TieredStopAtLevel=1");
    machine.starts++;
    Path log = machine.folder.resolve("log-" + machine.starts);
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    Process process = builder.start();
    machine.process = process;
    processes.add(process);
    record.line("process", machine.name + " starts, pid " + process.pid());
    process.onExit().thenAccept(ended -> onExit(machine, ended));
  }

  /** Starts a process again that ended by itself, after a short delay, as the platform does. */
  private void onExit(Machine machine, Process ended) {
    if (closed || machine.endedByTest.contains(ended)) {
      return;
    }
    machine.ownEnds++;
    machine.lastExit = ended.exitValue();
    record.line(
        "process", machine.name + " ENDED BY ITSELF, exit code " + ended.exitValue());
    errorLines(machine).forEach(line -> record.line("process", machine.name + " wrote: " + line));
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(RESTART_DELAY_MS);
                start(machine, false);
              } catch (InterruptedException | IOException e) {
                record.line("process", machine.name + " can't be started again: " + e);
              }
            });
  }

  private static List<String> errorLines(Machine machine) {
    try (Stream<String> lines =
        Files.lines(machine.folder.resolve("log-" + machine.starts), StandardCharsets.UTF_8)) {
      List<String> all = lines.toList();
      for (int i = 0; i < all.size(); i++) {
        if (all.get(i).contains("event=halted")) {
          return all.subList(i, Math.min(all.size(), i + 6));
        }
      }
      return List.of();
    } catch (IOException | UncheckedIOException e) {
      return List.of();
    }
  }

  /** Returns all that the processes of a machine wrote. */
  String logOf(Machine machine) {
    StringBuilder all = new StringBuilder();
    for (int i = 1; i <= machine.starts; i++) {
      try {
        all.append(Files.readString(machine.folder.resolve("log-" + i)));
      } catch (IOException e) {
        // No log was written.
      }
    }
    return all.toString();
  }

  boolean isRunning(Machine machine) {
    return machine.process != null && machine.process.isAlive();
  }

  /** Ends a process with SIGKILL. It isn't started again. */
  void kill(Machine machine) throws InterruptedException {
    machine.endedByTest.add(machine.process);
    record.line("process", machine.name + " gets SIGKILL");
    machine.process.destroyForcibly().waitFor();
  }

  /** Sends SIGTERM; the end of the process is expected from now on. */
  void terminate(Machine machine) {
    machine.endedByTest.add(machine.process);
    record.line("process", machine.name + " gets SIGTERM");
    machine.process.destroy();
  }

  /** Waits for the end of a process that got SIGTERM; SIGKILL after grace-s. */
  int awaitEnd(Machine machine) throws InterruptedException {
    if (!machine.process.waitFor(6, TimeUnit.SECONDS)) {
      machine.process.destroyForcibly().waitFor();
    }
    record.line("process", machine.name + " ended with " + machine.process.exitValue());
    return machine.process.exitValue();
  }

  void signal(Machine machine, String name) throws IOException, InterruptedException {
    record.line("process", machine.name + " gets SIG" + name);
    new ProcessBuilder("kill", "-" + name, String.valueOf(machine.process.pid()))
        .start()
        .waitFor();
  }

  void deleteDisk(Machine machine) throws IOException {
    record.line("process", machine.name + " loses its disk");
    deleteTree(machine.folder.resolve("data"));
  }

  /** Waits until every edge machine says that it is ready. */
  void awaitReady(long timeoutMs) throws InterruptedException, IOException {
    long until = System.nanoTime() + timeoutMs * 1_000_000;
    for (Machine edge : of("owner")) {
      while (!isReady(edge)) {
        if (System.nanoTime() > until) {
          throw new IOException(edge.name + " isn't ready");
        }
        Thread.sleep(100);
      }
    }
  }

  static boolean isReady(Machine edge) {
    Http.Answer answer = Http.call(edge.ip, READY_PORT, "GET", "/ready", "r", "", 1_000);
    return answer.status() == 200;
  }

  static boolean listens(String ip, int port) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, port), 300);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Ends every process, also if this test is ended before its time. */
  private synchronized void killAll() {
    closed = true;
    processes.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws IOException {
    killAll();
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") == null) {
      deleteTree(folder);
    } else {
      System.err.println("logs in " + folder);
    }
  }

  private static void deleteTree(Path top) throws IOException {
    if (!Files.exists(top)) {
      return;
    }
    try (Stream<Path> all = Files.walk(top)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }
}
