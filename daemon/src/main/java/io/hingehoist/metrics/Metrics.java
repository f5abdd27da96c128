package io.hingehoist.metrics;

import io.hingehoist.message.Message;
import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/**
 * The metrics of a process. Each process has its own registry, so that tests can run several
 * processes. Thread-safe.
 *
 * <p>Metrics are built without exemplars. Nothing is traced here, and the exemplar sampler has a
 * thread that the counted events wake up, which took 0.05 s of 2 s of a host's CPU time.
 */
public final class Metrics {
  private static final double[] DURATION_BUCKETS_S = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter messages =
      Counter.builder()
          .name("hingehoist_messages_total")
          .withoutExemplars()
          .help("Messages between processes, by direction and type.")
          .labelNames("direction", "type")
          .register(registry);
  private final Counter messageBytes =
      Counter.builder()
          .name("hingehoist_message_bytes_total")
          .withoutExemplars()
          .help("Bytes of messages between processes, by direction and type.")
          .labelNames("direction", "type")
          .register(registry);
  private final Counter badFrames =
      Counter.builder()
          .name("hingehoist_bad_frames_total")
          .withoutExemplars()
          .help("Frames that were not a message; the connection was closed.")
          .register(registry);
  private final Counter outcomes =
      Counter.builder()
          .name("hingehoist_outcomes_total")
          .withoutExemplars()
          .help("Answers to callers, by kind of submission and outcome.")
          .labelNames("kind", "outcome")
          .register(registry);
  private final Counter refusals =
      Counter.builder()
          .name("hingehoist_refusals_total")
          .withoutExemplars()
          .help("Submissions refused before they ran, by cause.")
          .labelNames("cause")
          .register(registry);
  private final Counter closedConnections =
      Counter.builder()
          .name("hingehoist_connections_closed_total")
          .withoutExemplars()
          .help("Connections refused or closed before their time, by group and reason.")
          .labelNames("group", "reason")
          .register(registry);
  private final Counter ignoredHeartbeats =
      Counter.builder()
          .name("hingehoist_heartbeats_ignored_total")
          .withoutExemplars()
          .help("Heartbeats that name no worker to use, by what is wrong with them.")
          .labelNames("problem")
          .register(registry);
  private final Histogram answerSeconds =
      Histogram.builder()
          .name("hingehoist_answer_seconds")
          .withoutExemplars()
          .help("Time from a submission to its answer, by kind.")
          .labelNames("kind")
          .classicOnly()
          .classicUpperBounds(DURATION_BUCKETS_S)
          .register(registry);
  private final Histogram syncSeconds =
      Histogram.builder()
          .name("hingehoist_journal_sync_seconds")
          .withoutExemplars()
          .help("Time of one synced write of the journal.")
          .classicOnly()
          .classicUpperBounds(DURATION_BUCKETS_S)
          .register(registry);
  private final Counter journalBytes =
      Counter.builder()
          .name("hingehoist_journal_bytes_total")
          .withoutExemplars()
          .help("Bytes written to the journal.")
          .register(registry);
  private final Counter roleChanges =
      Counter.builder()
          .name("hingehoist_role_changes_total")
          .withoutExemplars()
          .help("Changes of this replica's role or leader, by new role.")
          .labelNames("role")
          .register(registry);
  private final Gauge term =
      Gauge.builder()
          .name("hingehoist_term")
          .help("Current term of the replicated log.")
          .register(registry);
  private final Gauge logBytes =
      Gauge.builder()
          .name("hingehoist_log_bytes")
          .help("Size of the log entries in memory.")
          .register(registry);
  private final Gauge segmentBytes =
      Gauge.builder()
          .name("hingehoist_journal_segment_bytes")
          .help("Size of the last segment of the journal.")
          .register(registry);
  private final Counter snapshots =
      Counter.builder()
          .name("hingehoist_snapshots_total")
          .withoutExemplars()
          .help("Snapshots saved, by origin: taken or installed.")
          .labelNames("origin")
          .register(registry);
  private final Counter tasks =
      Counter.builder()
          .name("hingehoist_tasks_total")
          .withoutExemplars()
          .help("Tasks that the backend server ended, by state.")
          .labelNames("state")
          .register(registry);
  private final Counter settingsChanges =
      Counter.builder()
          .name("hingehoist_settings_changes_total")
          .withoutExemplars()
          .help("Changes of settings applied, by result.")
          .labelNames("result")
          .register(registry);

  /** The counters of one type of message in one direction. */
  private record MessageCount(CounterDataPoint messages, CounterDataPoint bytes) {
    private void add(int sizeBytes) {
      messages.inc();
      bytes.inc(sizeBytes);
    }
  }

  /** Caches the counters of each message type, to avoid a label look-up for each message. */
  private final Map<Class<?>, MessageCount> sent = new ConcurrentHashMap<>();

  private final Map<Class<?>, MessageCount> received = new ConcurrentHashMap<>();

  private Metrics() {}

  /** Creates the metrics of a process, with a new registry. */
  public static Metrics create() {
    return new Metrics();
  }

  /** Returns the registry for exporters. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /** Counts a message that was sent. */
  public void countSent(Message message, int bytes) {
    sent.computeIfAbsent(message.getClass(), type -> messageCount("sent", type)).add(bytes);
  }

  /** Counts a message that was received. */
  public void countReceived(Message message, int bytes) {
    received.computeIfAbsent(message.getClass(), type -> messageCount("received", type)).add(bytes);
  }

  private MessageCount messageCount(String direction, Class<?> type) {
    String name = type.getSimpleName();
    return new MessageCount(
        messages.labelValues(direction, name), messageBytes.labelValues(direction, name));
  }

  /** Counts a frame that could not be decoded. */
  public void countBadFrame() {
    badFrames.inc();
  }

  /** Counts an answer and records the time until it. */
  public void recordAnswer(String kind, String outcome, double seconds) {
    outcomes.labelValues(kind, outcome).inc();
    answerSeconds.labelValues(kind).observe(seconds);
  }

  /** Counts a refusal. */
  public void countRefusal(String cause) {
    refusals.labelValues(cause).inc();
  }

  /** Counts a connection that was refused or closed before its time. */
  public void countClosedConnection(String group, String reason) {
    closedConnections.labelValues(group, reason).inc();
  }

  /** Counts an ignored heartbeat. */
  public void countIgnoredHeartbeat(String problem) {
    ignoredHeartbeats.labelValues(problem).inc();
  }

  /** Records a synced write to the journal. */
  public void recordSync(int bytes, double seconds) {
    journalBytes.inc(bytes);
    syncSeconds.observe(seconds);
  }

  /** Records the size of the log in memory and of the last segment on disk. */
  public void recordLogSize(long newLogBytes, long newSegmentBytes) {
    logBytes.set(newLogBytes);
    segmentBytes.set(newSegmentBytes);
  }

  /** Counts a saved snapshot. */
  public void countSnapshot(String origin) {
    snapshots.labelValues(origin).inc();
  }

  /** Counts a change of a replica's role and sets the term. */
  public void recordRoleChange(String role, long newTerm) {
    roleChanges.labelValues(role).inc();
    term.set(newTerm);
  }

  /** Counts a task that ended. */
  public void countTask(String state) {
    tasks.labelValues(state).inc();
  }

  /** Counts a change of settings. */
  public void countSettingsChange(String result) {
    settingsChanges.labelValues(result).inc();
  }

  /** Adds a gauge whose value is read when metrics are collected. */
  public void addGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }
}
