package io.hingehoist.run.host;

import io.hingehoist.message.WaitingRow;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** A connection of an owner to a host. Owned by {@link WorkerHost}. */
final class OwnerSession {
  private static final class WaitingTasks {
    private final int rank;
    private final long sinceMs;
    private int taskCount;

    private WaitingTasks(WaitingRow row, long nowMs) {
      this.rank = row.rank();
      this.sinceMs = nowMs - row.waitedMs();
      this.taskCount = row.taskCount();
    }
  }

  /** Some round trips to an owner that is busy; then the probe counts as lost. */
  private static final long PROBE_TIMEOUT_MS = 500;

  final long id;
  final String ownerId;
  final PeerLease lease;
  private final Map<String, WaitingTasks> waitingByService = new HashMap<>();
  boolean formerRunsOver;

  /** The number of this session's runs that are not over. */
  int runCount;

  long lastOrder;

  /** Whether the owner is to be shown the workers at once. */
  boolean rowsDue;

  /** Whether the owner is shown changes as they come, or only in answer to its heartbeats. */
  boolean follows = true;

  long rowsSentAtMs;

  private OptionalLong probe = OptionalLong.empty();
  private long probeSentAtMs;
  private boolean unverified;
  private long unverifiedSinceMs;

  OwnerSession(long id, String ownerId, PeerLease lease) {
    this.id = id;
    this.ownerId = ownerId;
    this.lease = lease;
  }

  /** Notes that the owner was sent a probe. */
  void recordProbe(long number, long nowMs) {
    probe = OptionalLong.of(number);
    probeSentAtMs = nowMs;
  }

  /** Returns whether the answer to a probe may yet come. */
  boolean isProbePending(long nowMs) {
    return probe.isPresent() && nowMs - probeSentAtMs < PROBE_TIMEOUT_MS;
  }

  /** Believes nothing of the lease until the owner answers a probe. */
  void markUnverified(long nowMs) {
    unverified = true;
    unverifiedSinceMs = nowMs;
  }

  boolean isUnverified() {
    return unverified;
  }

  long unverifiedForMs(long nowMs) {
    return nowMs - unverifiedSinceMs;
  }

  /**
   * Takes an answer to a probe, which compares clocks and ends a doubt; returns whether it is one.
   */
  boolean acceptProof(long number, long sentAtMs, long nowMs) {
    boolean proves = probe.isPresent() && probe.getAsLong() == number;
    if (proves) {
      lease.onProbeAnswer(probeSentAtMs, sentAtMs, nowMs);
      probe = OptionalLong.empty();
      unverified = false;
    }
    return proves;
  }

  /** Returns whether runs of the owner may be started. */
  boolean allowsStarts(long nowMs) {
    return !isUnverified() && !lease.isExpired(nowMs);
  }

  /** Takes the owner's word of what waits there; it replaces what was known. */
  void replaceWaitingTasks(List<WaitingRow> rows, long nowMs) {
    waitingByService.clear();
    rows.forEach(row -> waitingByService.put(row.service(), new WaitingTasks(row, nowMs)));
  }

  boolean hasWaitingTasks(String service) {
    WaitingTasks waiting = waitingByService.get(service);
    return waiting != null && waiting.taskCount > 0;
  }

  /** Notes that room was offered for one of the tasks that wait. */
  void recordReservation(String service) {
    waitingByService.get(service).taskCount--;
    rowsDue = true;
  }

  /** Forgets what waits: the owner made no use of an offer, and will say what is true now. */
  void clearWaitingTasks(String service) {
    waitingByService.remove(service);
  }

  /** Orders connections that wait for a service: the most urgent work first, then the oldest. */
  static Comparator<OwnerSession> byUrgency(String service) {
    return Comparator.<OwnerSession>comparingInt(
            session -> session.waitingByService.get(service).rank)
        .thenComparingLong(session -> session.waitingByService.get(service).sinceMs);
  }
}
