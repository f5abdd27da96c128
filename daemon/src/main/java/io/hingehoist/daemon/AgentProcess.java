package io.hingehoist.daemon;

import io.hingehoist.agent.AgentNode;
import io.hingehoist.config.DaemonSettings;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.limits.ProcessLimits;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.settings.AgentSection;
import io.hingehoist.wire.Addresses;
import io.prometheus.metrics.exporter.httpserver.HTTPServer;
import java.io.IOException;
import java.net.InetAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import org.jboss.logging.Logger;

/**
 * A process with the agent role. To save memory it uses no Dropwizard, few threads and small
 * stacks.
 */
final class AgentProcess {
  private static final Logger LOG = Logger.getLogger(AgentProcess.class);
  private static final long STACK_BYTES = 192 * 1024;
  private static final String MAX_METRICS_CONNECTIONS = "64";

  /** The maximum time for the head of a request for metrics, in seconds. */
  private static final String MAX_REQUEST_S = "5";

  /** The maximum time for the response to a request for metrics, in seconds. */
  private static final String MAX_RESPONSE_S = "20";

  /** The time after which an idle connection for metrics is closed, in seconds. */
  private static final String MAX_IDLE_S = "20";

  private AgentProcess() {}

  static void start(DaemonSettings settings, Metrics metrics) throws IOException {
    AgentSection section = settings.agent().orElseThrow();
    ThreadFactory threads = AgentProcess::newThread;
    ProcessLimits limits = ProcessLimits.of(settings.callers());
    limits.report(metrics);
    LOG.infof("event=processLimits %s", limits.describe());
    AgentNode agent =
        AgentNode.start(settings.node(), section, limits.peers(), metrics, threads, Main::halt);
    if (!section.metricsAddress().isEmpty()) {
      serveMetrics(section.metricsAddress(), metrics);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(agent), "stop"));
  }

  /** Runs an agent briefly, so that its classes are loaded. */
  static void warmUp(DaemonSettings settings) throws IOException {
    LogSetup.configure(settings.node());
    Metrics metrics = Metrics.create();
    AgentSection section = settings.agent().orElseThrow();
    ThreadFactory threads = AgentProcess::newThread;
    try (AgentNode agent =
        AgentNode.start(
            settings.node(), section, ConnectionLimits.ofPeers(), metrics, threads, Main::halt)) {
      agent.warmUp();
    }
  }

  private static Thread newThread(Runnable action) {
    Thread thread = new Thread(null, action, "traffic", STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Serves metrics with the JDK's HTTP server. A virtual thread for each connection keeps slow
   * callers from using up the threads of the others; the limits end their connections.
   */
  static void serveMetrics(String address, Metrics metrics) throws IOException {
    System.setProperty("jdk.httpserver.maxConnections", MAX_METRICS_CONNECTIONS);
    System.setProperty("sun.net.httpserver.maxReqTime", MAX_REQUEST_S);
    System.setProperty("sun.net.httpserver.maxRspTime", MAX_RESPONSE_S);
    System.setProperty("sun.net.httpserver.idleInterval", MAX_IDLE_S);
    HTTPServer.builder()
        .executorService(Executors.newVirtualThreadPerTaskExecutor())
        .inetAddress(InetAddress.getByName(Addresses.host(address)))
        .port(Addresses.port(address))
        .registry(metrics.registry())
        .buildAndStart();
  }

  private static void stop(AgentNode agent) {
    if (!agent.stop()) {
      Runtime.getRuntime().halt(ExitCode.UNSETTLED_STOP.code());
    }
    Runtime.getRuntime().halt(ExitCode.OK.code());
  }
}
