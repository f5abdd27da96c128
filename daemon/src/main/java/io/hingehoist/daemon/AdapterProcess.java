package io.hingehoist.daemon;

import io.hingehoist.adapter.Adapter;
import io.hingehoist.adapter.Adapters;
import io.hingehoist.config.DaemonSettings;
import io.hingehoist.host.HostNode;
import io.hingehoist.journal.Disk;
import io.hingehoist.limits.ProcessLimits;
import io.hingehoist.log.DecisionLog;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.HttpExchange;
import io.hingehoist.net.HttpResponse;
import io.hingehoist.net.HttpServer;
import io.hingehoist.owner.OwnerNode;
import io.hingehoist.quorum.ControlNode;
import io.hingehoist.quorum.LocalOperatorCommands;
import io.hingehoist.quorum.RouteFeed;
import io.hingehoist.settings.ControlSection;
import io.hingehoist.settings.HostSection;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.settings.OwnerSection;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A process that serves its callers, workers or operators through an adapter: an owner, a host, or
 * a control replica. It does not start Dropwizard, Jersey or Guice, because it is meant for boxes
 * with a fraction of a core.
 */
final class AdapterProcess {
  private static final long MAX_OPERATOR_BODY_BYTES = 8L * 1024 * 1024;

  /**
   * The share of the heap that one configuration may take. Its parsed form takes several times its
   * size, and a replica holds it as an entry, in its state, in a snapshot, and in messages.
   */
  private static final long OPERATOR_BODY_HEAP_DIVISOR = 32;

  private static final int MAX_METRICS_BODY_BYTES = 1_024;

  private final DaemonSettings settings;
  private final Path file;
  private final Adapter adapter;
  private final Metrics metrics;
  private final DecisionLog log;
  private final ProcessLimits limits;
  private final EventLoop loop;

  private AdapterProcess(DaemonSettings settings, Path file, Adapter adapter, Metrics metrics) {
    this.settings = settings;
    this.file = file;
    this.adapter = adapter;
    this.metrics = metrics;
    this.log = DecisionLog.start(settings.node().nodeId(), System.out);
    this.limits = ProcessLimits.of(settings.callers());
    this.loop = EventLoop.start(Main::halt, limits);
    String node = settings.node().nodeId();
    limits.report(metrics);
    log.write("processLimits", node, limits.describe());
    loop.logConnections((event, outcome) -> log.write(event, node, outcome));
    loop.reportConnections(metrics);
  }

  static void start(DaemonSettings settings, Path file, Metrics metrics) throws IOException {
    String name = settings.node().adapter();
    Adapter adapter =
        Adapters.find(name)
            .orElseThrow(
                () ->
                    new IOException(
                        "node.adapter: value \"" + name + "\" is not on the class path"));
    new AdapterProcess(settings, file, adapter, metrics).start();
  }

  private void start() throws IOException {
    if (settings.owner().isPresent()) {
      startOwner(settings.owner().get());
    } else if (settings.host().isPresent()) {
      startHost(settings.host().get());
    } else {
      startControl(settings.control().orElseThrow());
    }
    NodeSection node = settings.node();
    log.write("started", node.nodeId(), "roles=" + String.join(",", node.roles()));
  }

  private void startOwner(OwnerSection section) throws IOException {
    OwnerNode owner =
        OwnerNode.start(
            settings.node(),
            section,
            settings.callers().maxBodyBytes(),
            adapter,
            metrics,
            log,
            loop);
    serveMetrics(section.metricsAddress());
    watchSettings(changed -> owner.reload(changed.node()));
    stopAtShutdown(owner::stop);
  }

  private void startHost(HostSection section) throws IOException {
    HostNode host = HostNode.start(settings.node(), section, adapter, metrics, log, loop);
    serveMetrics(section.metricsAddress());
    watchSettings(changed -> host.reload(changed.node()));
    stopAtShutdown(host::stop);
  }

  private void startControl(ControlSection section) throws IOException {
    ControlNode control =
        ControlNode.start(
            settings.node(),
            section,
            Disk.real(),
            limits.peers(),
            metrics,
            Thread.ofVirtual().name("traffic").factory(),
            Optional.of(RouteFeed.of(loop, OwnerNode.CONFIGURATION, adapter::toRoutes)),
            Main::halt);
    if (!section.doorAddress().isEmpty()) {
      LocalOperatorCommands commands =
          LocalOperatorCommands.of(control, loop, OwnerNode.CONFIGURATION);
      long heapBytes = Runtime.getRuntime().maxMemory();
      HttpServer.open(
          loop,
          section.doorAddress(),
          maxOperatorBodyBytes(heapBytes),
          adapter.operatorHandler(commands));
    }
    serveMetrics(section.metricsAddress());
    watchSettings(changed -> control.reload(changed.node()));
    stopAtShutdown(
        () -> {
          control.close();
          return true;
        });
  }

  /** Returns the maximum size of a configuration that a process with some heap can hold. */
  static int maxOperatorBodyBytes(long heapBytes) {
    return (int) Math.min(MAX_OPERATOR_BODY_BYTES, heapBytes / OPERATOR_BODY_HEAP_DIVISOR);
  }

  private void watchSettings(Consumer<DaemonSettings> changes) {
    SettingsFileWatcher.start(file, loop, log, changes);
  }

  private void stopAtShutdown(BooleanSupplier stop) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  boolean clean = stop.getAsBoolean();
                  log.close();
                  Runtime.getRuntime().halt((clean ? ExitCode.OK : ExitCode.UNSETTLED_STOP).code());
                },
                "stop"));
  }

  private void serveMetrics(String address) throws IOException {
    if (!address.isEmpty()) {
      HttpServer.open(loop, address, MAX_METRICS_BODY_BYTES, this::answerMetrics);
    }
  }

  private void answerMetrics(HttpExchange exchange) {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(text, metrics.registry().scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory cannot fail", e);
    }
    exchange.answer(HttpResponse.text(200, text.toString(java.nio.charset.StandardCharsets.UTF_8)));
  }
}
