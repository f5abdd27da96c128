package io.hingehoist.run.host;

import io.hingehoist.message.WaitingRow;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** A connection of an owner to a host. Owned by {@link WorkerHost}. */
final class OwnerSession {
  private static final class Waiting {
    private final int rank;
    private final long sinceMs;
    private int taskCount;

    private Waiting(WaitingRow row, long nowMs) {
      this.rank = row.rank();
      this.sinceMs = nowMs - row.waitedMs();
      this.taskCount = row.taskCount();
    }
  }

  /** Some round trips to an owner that is busy; then the probe counts as lost. */
  private static final long ANSWER_PATIENCE_MS = 500;

  final long id;
  final String ownerId;
  final LeaseClock lease;
  private final Map<String, Waiting> waitingByService = new HashMap<>();
  boolean formerRunsOver;

  /** The number of this session's runs that are not over. */
  int runCount;

  long lastOrder;

  /** Whether the owner is to be shown the workers at once. */
  boolean rowsDue;

  /** Whether the owner is shown changes as they come, or only in answer to its heartbeats. */
  boolean follows = true;

  long shownAtMs;

  private OptionalLong probe = OptionalLong.empty();
  private long askedAtMs;
  private boolean doubted;
  private long doubtedSinceMs;

  OwnerSession(long id, String ownerId, LeaseClock lease) {
    this.id = id;
    this.ownerId = ownerId;
    this.lease = lease;
  }

  /** Notes that the owner was sent a probe. */
  void ask(long number, long nowMs) {
    probe = OptionalLong.of(number);
    askedAtMs = nowMs;
  }

  /** Returns whether the answer to a probe may yet come. */
  boolean isAsked(long nowMs) {
    return probe.isPresent() && nowMs - askedAtMs < ANSWER_PATIENCE_MS;
  }

  /** Believes nothing of the lease until the owner answers a probe. */
  void doubt(long nowMs) {
    doubted = true;
    doubtedSinceMs = nowMs;
  }

  boolean isDoubted() {
    return doubted;
  }

  long doubtedMs(long nowMs) {
    return nowMs - doubtedSinceMs;
  }

  /**
   * Takes an answer to a probe, which compares clocks and ends a doubt; returns whether it is one.
   */
  boolean takeProof(long number, long sentAtMs, long nowMs) {
    boolean proves = probe.isPresent() && probe.getAsLong() == number;
    if (proves) {
      lease.onAnswer(askedAtMs, sentAtMs, nowMs);
      probe = OptionalLong.empty();
      doubted = false;
    }
    return proves;
  }

  /** Returns whether runs of the owner may be started. */
  boolean allowsStarts(long nowMs) {
    return !isDoubted() && !lease.isOver(nowMs);
  }

  /** Takes the owner's word of what waits there; it replaces what was known. */
  void takeWaiting(List<WaitingRow> rows, long nowMs) {
    waitingByService.clear();
    rows.forEach(row -> waitingByService.put(row.service(), new Waiting(row, nowMs)));
  }

  boolean waitsFor(String service) {
    Waiting waiting = waitingByService.get(service);
    return waiting != null && waiting.taskCount > 0;
  }

  /** Notes that room was offered for one of the tasks that wait. */
  void noteOffered(String service) {
    waitingByService.get(service).taskCount--;
    rowsDue = true;
  }

  /** Forgets what waits: the owner made no use of an offer, and will say what is true now. */
  void forgetWaiting(String service) {
    waitingByService.remove(service);
  }

  /** Orders connections that wait for a service: the most urgent work first, then the oldest. */
  static Comparator<OwnerSession> byUrgency(String service) {
    return Comparator.<OwnerSession>comparingInt(
            session -> session.waitingByService.get(service).rank)
        .thenComparingLong(session -> session.waitingByService.get(service).sinceMs);
  }
}
