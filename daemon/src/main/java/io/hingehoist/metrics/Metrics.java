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
 * What a process counts. One registry a process, so that tests can run several. Thread-safe.
 *
 * <p>Without exemplars: nothing here is traced, and their sampler keeps a thread that took 0.05 of
 * 2 s of a host's processor time, woken by what is counted ({@code ./bench --profile}).
 */
public final class Metrics {
  private static final double[] SECONDS = {
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
          .classicUpperBounds(SECONDS)
          .register(registry);
  private final Histogram syncSeconds =
      Histogram.builder()
          .name("hingehoist_journal_sync_seconds")
          .withoutExemplars()
          .help("Time of one synced write of the journal.")
          .classicOnly()
          .classicUpperBounds(SECONDS)
          .register(registry);
  private final Counter journalBytes =
      Counter.builder()
          .name("hingehoist_journal_bytes_total")
          .withoutExemplars()
          .help("Bytes written to the journal.")
          .register(registry);
  private final Counter elections =
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
  private final Counter tasks =
      Counter.builder()
          .name("hingehoist_tasks_total")
          .withoutExemplars()
          .help("Tasks that the backend server ended, by state.")
          .labelNames("state")
          .register(registry);
  private final Counter audits =
      Counter.builder()
          .name("hingehoist_settings_changes_total")
          .withoutExemplars()
          .help("Changes of settings applied, by result.")
          .labelNames("result")
          .register(registry);

  /** The counters of one type of message in one direction. */
  private record MessageCount(CounterDataPoint messages, CounterDataPoint bytes) {
    private void add(int size) {
      messages.inc();
      bytes.inc(size);
    }
  }

  /** A label is looked up once for each type of message, not with each of them. */
  private final Map<Class<?>, MessageCount> sent = new ConcurrentHashMap<>();

  private final Map<Class<?>, MessageCount> received = new ConcurrentHashMap<>();

  private Metrics() {}

  /** Creates an empty set of counters. */
  public static Metrics create() {
    return new Metrics();
  }

  /** Returns the registry that exporters read. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /** Counts a message that was sent. */
  public void countSent(Message message, int bytes) {
    sent.computeIfAbsent(message.getClass(), type -> count("sent", type)).add(bytes);
  }

  /** Counts a message that was received. */
  public void countReceived(Message message, int bytes) {
    received.computeIfAbsent(message.getClass(), type -> count("received", type)).add(bytes);
  }

  private MessageCount count(String direction, Class<?> type) {
    String name = type.getSimpleName();
    return new MessageCount(
        messages.labelValues(direction, name), messageBytes.labelValues(direction, name));
  }

  /** Counts a frame that was not a message. */
  public void countBadFrame() {
    badFrames.inc();
  }

  /** Counts an answer and the time that it took. */
  public void recordAnswer(String kind, String outcome, double seconds) {
    outcomes.labelValues(kind, outcome).inc();
    answerSeconds.labelValues(kind).observe(seconds);
  }

  /** Counts a refusal. */
  public void countRefusal(String cause) {
    refusals.labelValues(cause).inc();
  }

  /** Counts a heartbeat that names no worker to use. */
  public void countIgnoredHeartbeat(String problem) {
    ignoredHeartbeats.labelValues(problem).inc();
  }

  /** Counts a synced write. */
  public void recordSync(int bytes, double seconds) {
    journalBytes.inc(bytes);
    syncSeconds.observe(seconds);
  }

  /** Counts a change of role. */
  public void recordRoleChange(String role, long newTerm) {
    elections.labelValues(role).inc();
    term.set(newTerm);
  }

  /** Counts a task that ended. */
  public void countTask(String state) {
    tasks.labelValues(state).inc();
  }

  /** Counts a change of settings. */
  public void countSettingsChange(String result) {
    audits.labelValues(result).inc();
  }

  /** Adds a gauge that is read when it is asked for. */
  public void addGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }
}
