package io.hingehoist.limits;

import io.hingehoist.settings.CallersSection;
import io.hingehoist.settings.FieldSpecs;

/**
 * The limits on what the connections of callers, or of other processes, make a process hold.
 *
 * @param maxConnections the maximum number of open connections
 * @param maxHeldBytes the maximum memory for requests and unsent responses of all connections
 * @param headerTimeoutMs the maximum time from the first byte of a request to the end of its head
 * @param idleTimeoutMs the time without a byte after which an unfinished request, a response that
 *     is not read, or a connection that never sent a request is given up
 */
public record ConnectionLimits(
    int maxConnections, long maxHeldBytes, long headerTimeoutMs, long idleTimeoutMs) {
  /** The share of the heap for what callers make the process hold. */
  private static final long CALLERS_HEAP_DIVISOR = 5;

  /** The share of the heap for unfinished frames of other processes. */
  private static final long PEERS_HEAP_DIVISOR = 4;

  /** The share of the heap for unfinished responses of workers. */
  private static final long RESPONSES_HEAP_DIVISOR = 8;

  /** The heap for one open connection of a caller, with its buffers and handlers. */
  private static final long HEAP_BYTES_PER_CALLER = 32 * 1_024;

  /** The heap for one connection of another process, with its buffers and threads. */
  private static final long HEAP_BYTES_PER_PEER = 64 * 1_024;

  /** The descriptors of the process itself: libraries, files and listeners. */
  private static final int OWN_DESCRIPTORS = 64;

  /** The share of the other descriptors for callers. */
  private static final double CALLERS_SHARE = 0.5;

  /**
   * The share of the other descriptors for connections that other processes open. The rest is for
   * those that this process opens.
   */
  private static final double PEERS_SHARE = 0.375;

  private static final CallersSection DEFAULT_SETTINGS =
      CallersSection.from(
          field -> FieldSpecs.find(CallersSection.SPECS, field).orElseThrow().defaultValue());

  /**
   * Returns the limits for callers of a process.
   *
   * @param heapBytes the maximum size of the heap
   * @param maxDescriptors the maximum number of open descriptors
   */
  static ConnectionLimits ofCallers(CallersSection settings, long heapBytes, int maxDescriptors) {
    return new ConnectionLimits(
        settings.maxConnections() > 0
            ? settings.maxConnections()
            : connections(CALLERS_SHARE, maxDescriptors, heapBytes / HEAP_BYTES_PER_CALLER),
        settings.maxHeldBytes() > 0 ? settings.maxHeldBytes() : heapBytes / CALLERS_HEAP_DIVISOR,
        settings.headerTimeoutMs(),
        settings.idleTimeoutMs());
  }

  /** Returns the limits for other processes that connect to a process. */
  static ConnectionLimits ofPeers(CallersSection settings, long heapBytes, int maxDescriptors) {
    return new ConnectionLimits(
        connections(PEERS_SHARE, maxDescriptors, heapBytes / HEAP_BYTES_PER_PEER),
        heapBytes / PEERS_HEAP_DIVISOR,
        settings.headerTimeoutMs(),
        settings.idleTimeoutMs());
  }

  /** Returns the limits for the responses of workers, whose connections this process opens. */
  public static ConnectionLimits ofResponses() {
    return new ConnectionLimits(
        Integer.MAX_VALUE,
        Runtime.getRuntime().maxMemory() / RESPONSES_HEAP_DIVISOR,
        DEFAULT_SETTINGS.headerTimeoutMs(),
        DEFAULT_SETTINGS.idleTimeoutMs());
  }

  private static int connections(double share, int maxDescriptors, long maxByHeap) {
    long byDescriptors = (long) ((maxDescriptors - OWN_DESCRIPTORS) * share);
    return Math.clamp(Math.min(byDescriptors, maxByHeap), 1, Integer.MAX_VALUE);
  }

  /** Returns the default limits for callers of this process. */
  public static ConnectionLimits ofCallers() {
    return ProcessLimits.of(DEFAULT_SETTINGS).callers();
  }

  /** Returns the default limits for other processes that connect to this process. */
  public static ConnectionLimits ofPeers() {
    return ProcessLimits.of(DEFAULT_SETTINGS).peers();
  }
}
