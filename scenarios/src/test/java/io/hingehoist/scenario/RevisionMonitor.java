package io.hingehoist.scenario;

import io.hingehoist.cluster.LocalCluster;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Polls the settings revision of every ready server and records each decrease. Thread-safe; a
 * thread of its own polls.
 */
final class RevisionMonitor implements AutoCloseable {
  private static final String PREFIX = "ready, settings revision ";

  private final LocalCluster cluster;
  private final Map<Integer, Long> latest = new HashMap<>();
  private final List<String> violations = Collections.synchronizedList(new ArrayList<>());
  private final Thread thread;
  private volatile boolean closed;

  private RevisionMonitor(LocalCluster cluster) {
    this.cluster = cluster;
    this.thread = Thread.ofVirtual().unstarted(this::monitor);
  }

  static RevisionMonitor start(ScenarioContext context) {
    RevisionMonitor monitor = new RevisionMonitor(context.cluster);
    monitor.thread.start();
    return monitor;
  }

  private void monitor() {
    while (!closed) {
      for (int server = 1; server <= cluster.spec().servers(); server++) {
        recordHealth(server, cluster.body(cluster.httpAddress(server), "/health/ready").strip());
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
    }
  }

  private void recordHealth(int server, String health) {
    if (!health.startsWith(PREFIX)) {
      return;
    }
    long revision = Long.parseLong(health.substring(PREFIX.length()));
    Long previous = latest.put(server, revision);
    if (previous != null && previous > revision) {
      violations.add(
          "server-" + server + " served settings revision " + revision + " after " + previous);
    }
  }

  List<String> violations() {
    return List.copyOf(violations);
  }

  @Override
  public void close() {
    closed = true;
  }
}
