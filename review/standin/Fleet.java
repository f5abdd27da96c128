import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's own programs as separate processes,
 * started with the commands and templates of deploy/, each on an address of its own.
 */
final class Fleet implements AutoCloseable {
  static final int FRONT = 8161;
  static final int READY = 8167;
  static final int CONTROL = 8166;
  static final int APP = 8165;
  private static final int RESERVATION = 7001;

  /** One machine with one role. */
  final class Node {
    final String name;
    final String role;
    final String zone;
    final String ip;
    final Path folder;
    private Process process;
    private boolean started;

    private Node(String name, String role, String zone, String ip) throws IOException {
      this.name = name;
      this.role = role;
      this.zone = zone;
      this.ip = ip;
      this.folder = Files.createDirectories(root.resolve(name));
    }

    Path data() {
      return folder.resolve("data");
    }

    long pid() {
      return process.pid();
    }

    boolean isRunning() {
      return process != null && process.isAlive();
    }

    int exitCode() {
      return process.exitValue();
    }

    Path log() {
      return folder.resolve("log");
    }

    /** Starts the process with the settings in effect now. */
    void start() throws IOException {
      Path settings = folder.resolve("boot.yaml");
      String template = Files.readString(repository.resolve("deploy/" + role + ".yaml"));
      Files.writeString(settings, fill(template, this, !started));
      started = true;
      ProcessBuilder builder = new ProcessBuilder(commands.get(role).split(" +"));
      builder.directory(repository.toFile());
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "LANG", "JAVA_HOME"));
      environment.put("HINGEHOIST_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
    }

    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
    }

    /** SIGKILL, and waits for the end. */
    void kill() throws InterruptedException {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Empties the disk, as at a machine that lost it. */
    void wipe() throws IOException {
      if (Files.exists(data())) {
        try (Stream<Path> files = Files.walk(data())) {
          files.sorted(java.util.Comparator.reverseOrder()).forEach(Fleet::delete);
        }
      }
    }

    /** Returns the last line of the log that is not part of a stack trace. */
    String lastMessage() throws IOException {
      return Files.readAllLines(log()).stream()
          .filter(line -> !line.startsWith("\tat ") && !line.isBlank())
          .reduce("", (before, line) -> line)
          .replace(root.toString(), "");
    }
  }

  private final Path repository;
  private final Path root;
  private final ServerSocket reservation;
  private final int network;
  private final int losses;
  private final Map<String, String> commands = new HashMap<>();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<String> seeds = new ArrayList<>();

  /** Reserves a free network 127.N.0.0/16 and makes a temporary folder. */
  Fleet(Path repository, int controls, int owners, int hosts) throws IOException {
    this.repository = repository.toAbsolutePath();
    this.root = Files.createTempDirectory("review-");
    this.reservation = reserve();
    this.network = reservation.getInetAddress().getAddress()[1] & 0xff;
    this.losses = (controls - 1) / 2;
    readCommands();
    for (int i = 1; i <= controls; i++) {
      add("control", i);
    }
    nodes.values().stream().limit(3).forEach(node -> seeds.add(node.ip + ":" + CONTROL));
    for (int i = 1; i <= owners; i++) {
      add("owner", i);
    }
    for (int i = 1; i <= hosts; i++) {
      add("host", i);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
  }

  private static ServerSocket reserve() throws IOException {
    int first = ThreadLocalRandom.current().nextInt(250);
    for (int i = 0; i < 250; i++) {
      InetAddress address = InetAddress.getByName("127." + (2 + (first + i) % 250) + ".0.1");
      try {
        return new ServerSocket(RESERVATION, 1, address);
      } catch (IOException e) {
        // In use by another deployment.
      }
    }
    throw new IOException("no free loopback network");
  }

  private void readCommands() throws IOException {
    String role = "";
    for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
      if (line.startsWith("[roles.")) {
        role = line.substring(7, line.length() - 1);
      } else if (line.startsWith("run = ")) {
        commands.put(role, line.substring(7, line.length() - 1));
      }
    }
  }

  private void add(String role, int number) throws IOException {
    int group = role.equals("control") ? 1 : role.equals("owner") ? 2 : 3;
    String name = role + "-" + number;
    String ip = "127." + network + "." + group + "." + number;
    nodes.put(name, new Node(name, role, "zone-" + (1 + (number - 1) % 3), ip));
  }

  Node node(String name) {
    return nodes.get(name);
  }

  List<Node> nodes(String role) {
    return nodes.values().stream().filter(node -> node.role.equals(role)).toList();
  }

  /** Fills the gaps of a template from the fields of DEPLOY.md. */
  private String fill(String template, Node node, boolean first) {
    Map<String, String> fields = new HashMap<>();
    fields.put("node", node.name);
    fields.put("zone", node.zone);
    fields.put("ip", node.ip);
    fields.put("service", "desk");
    fields.put("port-range.0", "7720");
    fields.put("data-dir", node.data().toString());
    fields.put("listen.front", node.ip + ":" + FRONT);
    fields.put("listen.ready", node.ip + ":" + READY);
    fields.put("listen.control", node.ip + ":" + CONTROL);
    fields.put("tolerate.machines", Integer.toString(losses));
    fields.put("seeds.0", seeds.getFirst());
    fields.put("bounds.retransmit-ms", "1300");
    fields.put("bounds.max-lease-ms", "1000");
    fields.put("bounds.kill-grace-ms", "50");
    fields.put("bounds.grace-s", "6");
    String list = String.join("\",\"", seeds);
    String text = template.replace("\"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}\"", "\"" + list + "\"");
    text = text.replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", "\"" + list + "\"");
    Pattern bootstrap = Pattern.compile("\\{\\{#bootstrap}}(.*?)\\{\\{/bootstrap}}");
    text = bootstrap.matcher(text).replaceAll(first && !everBooted ? "$1" : "");
    Matcher gaps = Pattern.compile("\\{\\{([a-z0-9.-]+)}}").matcher(text);
    return gaps.replaceAll(gap -> Matcher.quoteReplacement(fields.get(gap.group(1))));
  }

  private boolean everBooted;
  private volatile boolean closing;
  private final Map<String, Integer> ownEnds = new java.util.concurrent.ConcurrentHashMap<>();
  private final Map<String, Integer> countedEnds = new java.util.concurrent.ConcurrentHashMap<>();
  private final Map<String, Long> disturbedAtMs = new java.util.concurrent.ConcurrentHashMap<>();
  private final java.util.Set<String> supervised =
      java.util.concurrent.ConcurrentHashMap.newKeySet();

  /** From now on a process that ends by itself is started again 400 ms later, as the platform does. */
  void supervise(Node node, Record record) {
    if (supervised.add(node.name)) {
      Thread.ofVirtual().start(() -> keepRunning(node, record));
    }
  }

  /** Ends the supervision of a process, so that a test can end it. */
  void release(Node node) {
    supervised.remove(node.name);
  }

  /** Notes that a disruption on a machine is under way or has just ended. */
  void disturbed(Node node, Record record) {
    disturbedAtMs.put(node.name, record.ms());
  }

  /** How often a process ended by itself more than a second after a disruption on its machine. */
  int countedEnds(Node node) {
    return countedEnds.getOrDefault(node.name, 0);
  }

  /** How often a supervised process ended by itself. */
  int ownEnds(Node node) {
    return ownEnds.getOrDefault(node.name, 0);
  }

  private void keepRunning(Node node, Record record) {
    try {
      while (!closing && supervised.contains(node.name)) {
        if (!node.isRunning()) {
          int count = ownEnds.merge(node.name, 1, Integer::sum);
          if (record.ms() - disturbedAtMs.getOrDefault(node.name, -9_999L) > 1_050) {
            countedEnds.merge(node.name, 1, Integer::sum);
          }
          if (count <= 3) {
            record.add(
                node.name + " ended by itself, code " + node.exitCode() + ": " + node.lastMessage());
          }
          Thread.sleep(400);
          if (!closing && supervised.contains(node.name)) {
            node.start();
          }
        }
        Thread.sleep(50);
      }
    } catch (IOException e) {
      record.add("supervision failed: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts all processes; only this first start has {@code bootstrap} true. */
  void startAll() throws IOException {
    for (Node node : nodes.values()) {
      node.start();
    }
    everBooted = true;
  }

  /** From now on settings have {@code bootstrap} false. */
  void bootstrapped() {
    everBooted = true;
  }

  static boolean listens(String ip, int port) {
    try (java.net.Socket socket = new java.net.Socket()) {
      socket.connect(new InetSocketAddress(ip, port), 300);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void endAll() {
    closing = true;
    for (Node node : nodes.values()) {
      if (node.isRunning()) {
        node.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    endAll();
    try {
      for (Node node : nodes.values()) {
        if (node.process != null) {
          node.process.waitFor(5, TimeUnit.SECONDS);
        }
      }
      reservation.close();
      try (Stream<Path> files = Files.walk(root)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(Fleet::delete);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void delete(Path path) {
    try {
      Files.deleteIfExists(path);
    } catch (IOException e) {
      // Left in the temporary folder.
    }
  }
}
