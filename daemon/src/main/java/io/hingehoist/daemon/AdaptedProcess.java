package io.hingehoist.daemon;

import io.hingehoist.adapter.Adapter;
import io.hingehoist.adapter.Adapters;
import io.hingehoist.config.DaemonSettings;
import io.hingehoist.host.HostNode;
import io.hingehoist.journal.Disk;
import io.hingehoist.journal.Identity;
import io.hingehoist.journal.Journal;
import io.hingehoist.log.DecisionLog;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.HttpExchange;
import io.hingehoist.net.HttpResponse;
import io.hingehoist.net.HttpServer;
import io.hingehoist.owner.OwnerNode;
import io.hingehoist.quorum.ControlNode;
import io.hingehoist.quorum.LocalOrders;
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
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A process whose outside is served by an adapter: an owner, a host, or a control replica. It
 * starts no Dropwizard, Jersey or Guice, as the boxes that it is meant for have a fraction of a
 * core.
 */
final class AdaptedProcess {
  private static final int MAX_DOOR_BODY_BYTES = 8 * 1024 * 1024;
  private static final int MAX_METRICS_BODY_BYTES = 1_024;

  private final DaemonSettings settings;
  private final Path file;
  private final Adapter adapter;
  private final Metrics metrics;
  private final DecisionLog log;
  private final EventLoop loop;

  private AdaptedProcess(DaemonSettings settings, Path file, Adapter adapter, Metrics metrics) {
    this.settings = settings;
    this.file = file;
    this.adapter = adapter;
    this.metrics = metrics;
    this.log = DecisionLog.start(settings.node().nodeId(), System.out);
    this.loop = EventLoop.start(Main::halt);
  }

  static void start(DaemonSettings settings, Path file, Metrics metrics) throws IOException {
    String name = settings.node().adapter();
    Adapter adapter =
        Adapters.find(name)
            .orElseThrow(
                () ->
                    new IOException(
                        "node.adapter: value \"" + name + "\" is not on the class path"));
    new AdaptedProcess(settings, file, adapter, metrics).start();
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
    OwnerNode owner = OwnerNode.start(settings.node(), section, adapter, metrics, log, loop);
    serveMetrics(section.metricsAddress());
    watch(changed -> owner.reload(changed.node()));
    stopWith(owner::stop);
  }

  private void startHost(HostSection section) throws IOException {
    HostNode host = HostNode.start(settings.node(), section, adapter, metrics, log, loop);
    serveMetrics(section.metricsAddress());
    watch(changed -> host.reload(changed.node()));
    stopWith(host::stop);
  }

  private void startControl(ControlSection section) throws IOException {
    foundIfDue(section);
    ControlNode control =
        ControlNode.start(
            settings.node(),
            section,
            Disk.real(),
            metrics,
            Thread.ofVirtual().name("traffic").factory(),
            Optional.of(RouteFeed.of(loop, OwnerNode.CONFIGURATION, adapter::toRoutes)),
            Main::halt);
    if (!section.doorAddress().isEmpty()) {
      LocalOrders orders = LocalOrders.of(control, loop, OwnerNode.CONFIGURATION);
      HttpServer.open(
          loop, section.doorAddress(), MAX_DOOR_BODY_BYTES, adapter.controlDoor(orders));
    }
    serveMetrics(section.metricsAddress());
    watch(changed -> control.reload(changed.node()));
    stopWith(
        () -> {
          control.close();
          return true;
        });
  }

  private void foundIfDue(ControlSection section) throws IOException {
    Path folder = Path.of(settings.node().dataFolder());
    boolean founds =
        !section.foundsAt().isEmpty() && section.foundsAt().equals(section.doorAddress());
    if (!founds || Identity.read(folder).isPresent()) {
      return;
    }
    Identity identity =
        Journal.found(
            folder,
            Disk.real(),
            UUID.randomUUID().toString(),
            section.listenAddress(),
            System.currentTimeMillis());
    log.write("clusterFounded", settings.node().nodeId(), "cluster=" + identity.clusterId());
  }

  private void watch(Consumer<DaemonSettings> changes) {
    SettingsWatch.start(file, loop, log, changes);
  }

  private void stopWith(BooleanSupplier stop) {
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

  private void answerMetrics(HttpExchange call) {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(text, metrics.registry().scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory cannot fail", e);
    }
    call.answer(HttpResponse.text(200, text.toString(java.nio.charset.StandardCharsets.UTF_8)));
  }
}
