package io.hingehoist.limits;

import io.hingehoist.metrics.Metrics;
import io.hingehoist.settings.CallersSection;

/**
 * The limits on the connections of a process, which follow from its descriptors, its heap and its
 * settings.
 */
public final class ProcessLimits {
  private final Descriptors descriptors;
  private final long heapBytes;
  private final ConnectionLimits callers;
  private final ConnectionLimits peers;

  private ProcessLimits(CallersSection settings, Descriptors descriptors, long heapBytes) {
    this.descriptors = descriptors;
    this.heapBytes = heapBytes;
    this.callers = ConnectionLimits.ofCallers(settings, heapBytes, descriptors.count());
    this.peers = ConnectionLimits.ofPeers(settings, heapBytes, descriptors.count());
  }

  /** Returns the limits of this process. */
  public static ProcessLimits of(CallersSection settings) {
    return new ProcessLimits(
        settings,
        Descriptors.ofThisProcess(settings.maxDescriptors()),
        Runtime.getRuntime().maxMemory());
  }

  /** Returns the limits on connections of callers. */
  public ConnectionLimits callers() {
    return callers;
  }

  /** Returns the limits on connections that other processes open. */
  public ConnectionLimits peers() {
    return peers;
  }

  /** Registers the gauges of what the limits follow from. */
  public void report(Metrics metrics) {
    metrics.addGauge(
        "hingehoist_descriptors_limit", "Maximum number of descriptors.", descriptors::count);
  }

  /** Returns the limits and what they follow from, as pairs for a log line. */
  public String describe() {
    return "descriptors=%d descriptorsFrom=%s heapBytes=%d callerConnections=%d peerConnections=%d"
        .formatted(
            descriptors.count(),
            descriptors.source().label(),
            heapBytes,
            callers.maxConnections(),
            peers.maxConnections());
  }
}
