package io.hingehoist.scenario;

import io.hingehoist.cluster.LocalCluster;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Watches the settings revision of every ready server, and notes each time that one falls. */
final class RevisionWatch implements AutoCloseable {
  private static final String PREFIX = "ready, settings revision ";

  private final LocalCluster cluster;
  private final Map<Integer, Long> latest = new HashMap<>();
  private final List<String> faults = Collections.synchronizedList(new ArrayList<>());
  private final Thread thread;
  private volatile boolean closed;

  private RevisionWatch(LocalCluster cluster) {
    this.cluster = cluster;
    this.thread = Thread.ofVirtual().unstarted(this::watch);
  }

  static RevisionWatch start(Deployment deployment) {
    RevisionWatch watch = new RevisionWatch(deployment.cluster);
    watch.thread.start();
    return watch;
  }

  private void watch() {
    while (!closed) {
      for (int server = 1; server <= cluster.shape().servers(); server++) {
        note(server, cluster.body(cluster.httpAddress(server), "/health/ready").strip());
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
    }
  }

  private void note(int server, String health) {
    if (!health.startsWith(PREFIX)) {
      return;
    }
    long revision = Long.parseLong(health.substring(PREFIX.length()));
    Long before = latest.put(server, revision);
    if (before != null && before > revision) {
      faults.add("server-" + server + " served under " + revision + " after " + before);
    }
  }

  List<String> faults() {
    return List.copyOf(faults);
  }

  @Override
  public void close() {
    closed = true;
  }
}
