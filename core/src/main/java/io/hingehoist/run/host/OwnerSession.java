package io.hingehoist.run.host;

import io.hingehoist.message.WaitingRow;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** A session of an owner with a host. Not thread-safe: confined to the event-loop thread. */
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

  /** Several round trips to a busy owner; after that the probe counts as lost. */
  private static final long PROBE_TIMEOUT_MS = 500;

  final long id;
  final String ownerId;
  final PeerLease lease;
  private final Map<String, WaitingTasks> waitingByService = new HashMap<>();
  boolean formerRunsOver;

  /** The number of this session's runs that are not yet over. */
  int runCount;

  long lastOrder;

  /** Whether the worker rows are to be sent to the owner without delay. */
  boolean rowsDue;

  /** Whether the owner receives changes as they occur, or only in response to its heartbeats. */
  boolean follows = true;

  long rowsSentAtMs;

  private OptionalLong pendingProbe = OptionalLong.empty();
  private long probeSentAtMs;
  private boolean unverified;
  private long unverifiedSinceMs;

  OwnerSession(long id, String ownerId, PeerLease lease) {
    this.id = id;
    this.ownerId = ownerId;
    this.lease = lease;
  }

  /** Records that a probe was sent to the owner. */
  void recordProbe(long number, long nowMs) {
    pendingProbe = OptionalLong.of(number);
    probeSentAtMs = nowMs;
  }

  /** Returns whether the answer to a probe may still arrive. */
  boolean isProbePending(long nowMs) {
    return pendingProbe.isPresent() && nowMs - probeSentAtMs < PROBE_TIMEOUT_MS;
  }

  /** Marks the lease as unverified until the owner answers a probe. */
  void markUnverified(long sleptMs, long nowMs) {
    lease.onSuspectedSleep(sleptMs);
    if (!unverified) {
      unverified = true;
      unverifiedSinceMs = nowMs;
    }
  }

  boolean isUnverified() {
    return unverified;
  }

  long unverifiedForMs(long nowMs) {
    return nowMs - unverifiedSinceMs;
  }

  /**
   * Handles a session proof. If it answers the pending probe, it updates the clock offset and
   * verifies the lease. Returns whether it does.
   */
  boolean acceptProof(long number, long sentAtMs, long nowMs) {
    boolean matches = pendingProbe.isPresent() && pendingProbe.getAsLong() == number;
    if (matches) {
      lease.onProbeAnswer(probeSentAtMs, sentAtMs, nowMs);
      pendingProbe = OptionalLong.empty();
      unverified = false;
    }
    return matches;
  }

  /** Returns whether the lease is verified and has not expired, so that runs may be started. */
  boolean isLeaseValid(long nowMs) {
    return !isUnverified() && !lease.isExpired(nowMs);
  }

  /** Replaces the known waiting tasks with those that the owner reports. */
  void replaceWaitingTasks(List<WaitingRow> rows, long nowMs) {
    waitingByService.clear();
    rows.forEach(row -> waitingByService.put(row.service(), new WaitingTasks(row, nowMs)));
  }

  boolean hasWaitingTasks(String service) {
    WaitingTasks waiting = waitingByService.get(service);
    return waiting != null && waiting.taskCount > 0;
  }

  /** Records that room was reserved for one of the waiting tasks. */
  void recordReservation(String service) {
    waitingByService.get(service).taskCount--;
    rowsDue = true;
  }

  /**
   * Clears the waiting tasks of a service after the owner did not use a reservation; it will report
   * the current ones.
   */
  void clearWaitingTasks(String service) {
    waitingByService.remove(service);
  }

  /** Orders sessions with waiting tasks of a service: the most urgent first, then the oldest. */
  static Comparator<OwnerSession> byUrgency(String service) {
    return Comparator.<OwnerSession>comparingInt(
            session -> session.waitingByService.get(service).rank)
        .thenComparingLong(session -> session.waitingByService.get(service).sinceMs);
  }
}
