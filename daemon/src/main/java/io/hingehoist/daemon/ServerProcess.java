package io.hingehoist.daemon;

import io.hingehoist.config.DaemonSettings;
import io.hingehoist.entry.EntryApplication;
import io.hingehoist.entry.EntryNode;
import io.hingehoist.journal.Disk;
import io.hingehoist.limits.ProcessLimits;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.quorum.ControlNode;
import java.util.Optional;
import java.util.concurrent.ThreadFactory;
import org.jboss.logging.Logger;

/** A process with the control role, the entry role, or both. */
final class ServerProcess {
  private static final Logger LOG = Logger.getLogger(ServerProcess.class);

  private final Optional<ControlNode> control;
  private final Optional<EntryNode> entry;
  private final Optional<EntryApplication> application;

  private ServerProcess(
      Optional<ControlNode> control,
      Optional<EntryNode> entry,
      Optional<EntryApplication> application) {
    this.control = control;
    this.entry = entry;
    this.application = application;
  }

  static void start(DaemonSettings settings, Metrics metrics) throws Exception {
    ThreadFactory threads = Thread.ofVirtual().name("traffic").factory();
    ProcessLimits limits = ProcessLimits.of(settings.callers());
    limits.report(metrics);
    LOG.infof("event=processLimits %s", limits.describe());
    Optional<ControlNode> control = Optional.empty();
    if (settings.control().isPresent()) {
      control =
          Optional.of(
              ControlNode.start(
                  settings.node(),
                  settings.control().get(),
                  Disk.real(),
                  limits.peers(),
                  metrics,
                  threads,
                  Optional.empty(),
                  Main::halt));
    }
    Optional<EntryNode> entry =
        settings
            .entry()
            .map(s -> EntryNode.start(settings.node(), s, metrics, threads, Main::halt));
    Optional<EntryApplication> application = Optional.empty();
    if (entry.isPresent()) {
      application = Optional.of(EntryApplication.start(entry.get(), metrics, limits.callers()));
    } else if (!settings.control().get().metricsAddress().isEmpty()) {
      AgentProcess.serveMetrics(settings.control().get().metricsAddress(), metrics);
    }
    ServerProcess process = new ServerProcess(control, entry, application);
    Runtime.getRuntime().addShutdownHook(new Thread(process::stop, "stop"));
    LOG.infof(
        "event=serverStarted node=%s roles=%s",
        settings.node().nodeId(), String.join(",", settings.node().roles()));
  }

  /**
   * Stops the entry first, while the control replica in this process can still commit the last
   * outcomes.
   */
  private void stop() {
    boolean clean = entry.map(EntryNode::stop).orElse(true);
    application.ifPresent(ServerProcess::stopQuietly);
    entry.ifPresent(EntryNode::close);
    control.ifPresent(ControlNode::close);
    Runtime.getRuntime().halt((clean ? ExitCode.OK : ExitCode.UNSETTLED_STOP).code());
  }

  private static void stopQuietly(EntryApplication application) {
    try {
      application.stop();
    } catch (Exception e) {
      LOG.warnf("event=httpStopFailed reason=\"%s\"", e);
    }
  }
}
