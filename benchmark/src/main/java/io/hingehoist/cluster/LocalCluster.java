package io.hingehoist.cluster;

import io.hingehoist.standin.Relay;
import io.hingehoist.standin.StandInBackend;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Servers, agents and stand-in backend servers on loopback addresses, with a relay in front of each
 * server and agent. Not thread-safe.
 *
 * <p>Each cluster reserves a loopback network of its own, 127.x, so that several can run on one
 * machine.
 */
public final class LocalCluster implements AutoCloseable {
  private static final int CONTROL_PORT = 7_100;
  private static final int CONTROL_BIND_PORT = 17_100;
  private static final int HTTP_PORT = 8_080;
  private static final int CALLER_PORT = 18_080;
  private static final int AGENT_PORT = 7_200;
  private static final int AGENT_BIND_PORT = 17_200;
  private static final int BACKEND_PORT = 9_000;
  private static final int METRICS_PORT = 7_300;
  private static final long AWAIT_S = 60;
  private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(5);

  private final Path folder;
  private final ClusterSpec spec;
  private final LoopbackNetwork network;
  private final Map<String, NodeProcess> processes = new LinkedHashMap<>();
  private final Map<String, Relay> relays = new LinkedHashMap<>();
  private final Map<String, Relay> callerRelays = new LinkedHashMap<>();
  private final Map<String, StandInBackend> backends = new LinkedHashMap<>();
  private final HttpClient http = HttpClient.newBuilder().connectTimeout(HTTP_TIMEOUT).build();

  private LocalCluster(Path folder, ClusterSpec spec) throws IOException {
    this.folder = folder;
    this.spec = spec;
    this.network = LoopbackNetwork.reserve();
  }

  /** Writes the settings files of a cluster and opens its relays and backend servers. */
  public static LocalCluster create(Path folder, ClusterSpec spec) throws IOException {
    LocalCluster cluster = new LocalCluster(folder, spec);
    Files.createDirectories(folder);
    for (int i = 1; i <= spec.servers(); i++) {
      cluster.addServer(i);
    }
    for (int i = 1; i <= spec.agents(); i++) {
      cluster.addAgent(i);
    }
    return cluster;
  }

  private String serverIp(int i) {
    return network.ip(1, i);
  }

  private String agentIp(int i) {
    return network.ip(2, i);
  }

  private String controlAddresses() {
    List<String> addresses = new ArrayList<>();
    for (int i = 1; i <= spec.servers(); i++) {
      addresses.add(serverIp(i) + ":" + CONTROL_PORT);
    }
    return String.join(", ", addresses);
  }

  private void addServer(int i) throws IOException {
    String name = "server-" + i;
    Path nodeFolder = Files.createDirectories(folder.resolve(name));
    String extraSettings =
        spec.controlSettings().entrySet().stream()
            .map(e -> "  " + e.getKey() + ": " + e.getValue() + "\n")
            .collect(Collectors.joining());
    Files.writeString(
        nodeFolder.resolve("settings.yaml"),
        """
        node:
          nodeId: %s
          roles: [entry, control]
          zone: zone-%d
          controlAddresses: [%s]
          dataFolder: %s
        control:
          listenAddress: %s:%d
          bindAddress: %s:%d
        %sentry:
          httpAddress: %s:%d
        """
            .formatted(
                name,
                i,
                controlAddresses(),
                nodeFolder.resolve("data"),
                serverIp(i),
                CONTROL_PORT,
                serverIp(i),
                CONTROL_BIND_PORT,
                extraSettings,
                serverIp(i),
                HTTP_PORT));
    relays.put(name, Relay.open(serverIp(i), CONTROL_PORT, serverIp(i), CONTROL_BIND_PORT));
    callerRelays.put(name, Relay.open(serverIp(i), CALLER_PORT, serverIp(i), HTTP_PORT));
    processes.put(name, process(name, nodeFolder, spec.serverFlags()));
  }

  private void addAgent(int i) throws IOException {
    String name = "agent-" + i;
    Path nodeFolder = Files.createDirectories(folder.resolve(name));
    Files.writeString(
        nodeFolder.resolve("settings.yaml"),
        """
        node:
          nodeId: %s
          roles: [agent]
          zone: zone-%d
          controlAddresses: [%s]
        agent:
          listenAddress: %s:%d
          bindAddress: %s:%d
          service: %s
          backendUrl: http://%s:%d/
          slots: %d
          metricsAddress: %s:%d
        """
            .formatted(
                name,
                (i - 1) % Math.max(1, spec.servers()) + 1,
                controlAddresses(),
                agentIp(i),
                AGENT_PORT,
                agentIp(i),
                AGENT_BIND_PORT,
                spec.service(),
                agentIp(i),
                BACKEND_PORT,
                spec.slots(),
                agentIp(i),
                METRICS_PORT));
    relays.put(name, Relay.open(agentIp(i), AGENT_PORT, agentIp(i), AGENT_BIND_PORT));
    backends.put(
        name,
        StandInBackend.start(name, agentIp(i), BACKEND_PORT, nodeFolder.resolve("starts.log")));
    processes.put(name, process(name, nodeFolder, ""));
  }

  private NodeProcess process(String name, Path nodeFolder, String flags) {
    return NodeProcess.create(
        name, nodeFolder, DaemonLauncher.builder(flags, "run", settingsFile(name)));
  }

  /** Returns the settings file of a process. */
  public Path settingsFile(String name) {
    return folder.resolve(name).resolve("settings.yaml");
  }

  /**
   * Founds the cluster on the first server, starts all processes, and waits until they are ready.
   *
   * @throws IOException if the cluster can't be founded or a process can't be started
   */
  public void start() throws IOException {
    NodeProcess foundingProcess =
        NodeProcess.create(
            "found",
            folder.resolve("server-1"),
            DaemonLauncher.builder("", "found", settingsFile("server-1")));
    foundingProcess.start();
    if (foundingProcess.awaitExit() != 0) {
      throw new IOException("could not found the cluster: " + foundingProcess.output());
    }
    for (NodeProcess process : processes.values()) {
      process.start();
    }
    awaitReady();
  }

  /**
   * Waits until every entry has a lease, every replica is a voter, and every agent is usable for
   * every server.
   */
  public void awaitReady() {
    for (int i = 1; i <= spec.servers(); i++) {
      String address = httpAddress(i);
      await("server-" + i + " is ready", () -> status(address, "/health/ready") == 200);
    }
    await(
        "every replica is a voter",
        () ->
            body(httpAddress(1), "/v1/reports/status").split("\"voter\":true").length - 1
                >= spec.servers());
    for (int i = 1; i <= spec.servers(); i++) {
      String address = httpAddress(i);
      await(
          "every agent is usable for server-" + i,
          () ->
              body(address, "/metrics")
                  .contains("hingehoist_usable_workers " + (double) spec.agents()));
    }
  }

  /**
   * Waits until a condition holds.
   *
   * @param description the condition in words, for the failure message
   * @throws IllegalStateException if the condition does not hold within 60 s
   */
  public static void await(String description, BooleanSupplier condition) {
    await(description, AWAIT_S, condition);
  }

  /**
   * Waits until a condition holds.
   *
   * @param description the condition in words, for the failure message
   * @throws IllegalStateException if the condition does not hold within the timeout
   */
  public static void await(String description, long timeoutS, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException(
            "condition not met within " + timeoutS + " s: " + description);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
    }
  }

  private int status(String address, String path) {
    try {
      return get(address, path).statusCode();
    } catch (IOException e) {
      return -1;
    }
  }

  /** Returns the body of an HTTP response, or an empty text if the request fails. */
  public String body(String address, String path) {
    try {
      return get(address, path).body();
    } catch (IOException e) {
      return "";
    }
  }

  private HttpResponse<String> get(String address, String path) throws IOException {
    try {
      URI uri = URI.create("http://" + address + path);
      return http.send(
          HttpRequest.newBuilder(uri).timeout(HTTP_TIMEOUT).build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** Returns the address at which the backend server of an agent accepts requests. */
  public String backendAddress(int agent) {
    return agentIp(agent) + ":" + BACKEND_PORT;
  }

  /** Returns the HTTP address of a server, which no relay delays. */
  public String httpAddress(int server) {
    return serverIp(server) + ":" + HTTP_PORT;
  }

  /** Returns the address of the relay through which remote callers reach a server. */
  public String callerAddress(int server) {
    return serverIp(server) + ":" + CALLER_PORT;
  }

  /** Sets the delay between callers and servers in each direction. */
  public void setCallerDelayNanos(long nanos) {
    callerRelays.values().forEach(relay -> relay.setDelayNanos(nanos));
  }

  /** Returns the address at which an agent serves its metrics. */
  public String metricsAddress(int agent) {
    return agentIp(agent) + ":" + METRICS_PORT;
  }

  /** Returns the source IP address of the connections that a process opens. */
  public String ipOf(String name) {
    int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
    return name.startsWith("server") ? serverIp(number) : agentIp(number);
  }

  /** Returns the process with a name. */
  public NodeProcess process(String name) {
    return processes.get(name);
  }

  /** Returns all processes by name. */
  public Map<String, NodeProcess> processes() {
    return Map.copyOf(processes);
  }

  /** Returns the relay in front of a process. */
  public Relay relay(String name) {
    return relays.get(name);
  }

  /** Returns the relays in front of all processes, without those for callers. */
  public List<Relay> relays() {
    return List.copyOf(relays.values());
  }

  /** Returns the backend server of an agent. */
  public StandInBackend backend(String agentName) {
    return backends.get(agentName);
  }

  /** Returns all backend servers. */
  public Stream<StandInBackend> backends() {
    return backends.values().stream();
  }

  /** Returns the specification that the cluster was created with. */
  public ClusterSpec spec() {
    return spec;
  }

  /** Returns the lines of the start logs of all backend servers, one line per started task. */
  public List<String> startLogLines() throws IOException {
    List<String> lines = new ArrayList<>();
    for (String agent : backends.keySet()) {
      Path log = folder.resolve(agent).resolve("starts.log");
      lines.addAll(Files.readAllLines(log));
    }
    return lines;
  }

  /** Kills all processes and closes relays, backend servers and the network. */
  @Override
  public void close() throws IOException {
    processes.values().forEach(NodeProcess::killIfRunning);
    for (Relay relay : relays.values()) {
      relay.close();
    }
    for (Relay relay : callerRelays.values()) {
      relay.close();
    }
    for (StandInBackend backend : backends.values()) {
      backend.close();
    }
    // Closed last, because another cluster may reserve the network as soon as it is released.
    network.close();
  }
}
