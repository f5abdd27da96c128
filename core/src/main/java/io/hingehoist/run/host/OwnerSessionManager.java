package io.hingehoist.run.host;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.SessionProbe;
import io.hingehoist.message.SessionProof;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.run.RunTiming;
import java.util.List;

/**
 * The sessions of owners with a host: their leases, what is stopped when one ends, and what each is
 * shown of the workers. Owned by {@link WorkerHost}.
 */
final class OwnerSessionManager {
  /** An owner that was shown the workers so lately knows that its host lives. */
  private static final long ROWS_RECENT_MS = 100;

  /** Some round trips to an owner that is well; after it the owner's runs are stopped. */
  private static final long PROOF_TIMEOUT_MS = 300;

  private final String hostId;
  private final long incarnation;
  private final RunTiming timing;
  private final long formerIncarnationOverAtMs;
  private final WorkerInstances instances;
  private final OwnerSessions sessions;
  private final StartGuard startGuard;
  private final LeaseBounds bounds;
  private final RunController runController;
  private final FreedRoomAllocator roomAllocator;
  private final HostOutbox outbox;
  private final RowUpdateThrottle rowThrottle = new RowUpdateThrottle();
  private long probeNumber;

  OwnerSessionManager(
      String hostId,
      long incarnation,
      RunTiming timing,
      WorkerInstances instances,
      OwnerSessions sessions,
      StartGuard startGuard,
      LeaseBounds bounds,
      RunController runController,
      FreedRoomAllocator roomAllocator,
      HostOutbox outbox,
      long nowMs) {
    this.hostId = hostId;
    this.incarnation = incarnation;
    this.timing = timing;
    this.instances = instances;
    this.sessions = sessions;
    this.startGuard = startGuard;
    this.bounds = bounds;
    this.runController = runController;
    this.roomAllocator = roomAllocator;
    this.outbox = outbox;
    // What the last life of this host had ordered runs on for no longer than its lease.
    this.formerIncarnationOverAtMs = nowMs + timing.workerRunsOverAfterMs();
  }

  /** Notes a session of an owner, and tells it when every run of its earlier ones is over. */
  void open(long sessionId, String ownerId, long nowMs) {
    sessions.ofOwner(ownerId).ifPresent(former -> close(former, "replaced", nowMs));
    PeerLease lease = new PeerLease(timing.ownerLeaseMs(), nowMs);
    OwnerSession session = new OwnerSession(sessionId, ownerId, lease);
    sessions.add(session);
    outbox.logDecision("ownerFound", "", ownerId, "session=" + sessionId);
    session.formerRunsOver = areFormerRunsOver(session, nowMs);
    outbox.send(sessionId, openedMessage(session));
    runController.sendRecentCrashes(session, nowMs);
    sendRows(session, nowMs);
  }

  private SessionOpened openedMessage(OwnerSession session) {
    return new SessionOpened(
        session.id, hostId, incarnation, startGuard.zone(), session.formerRunsOver);
  }

  private boolean areFormerRunsOver(OwnerSession session, long nowMs) {
    return nowMs >= formerIncarnationOverAtMs && !hasFormerRuns(session);
  }

  private boolean hasFormerRuns(OwnerSession session) {
    return instances.all().stream()
        .flatMap(instance -> instance.runs().stream())
        .anyMatch(run -> sessions.isFormer(run.sessionId, session));
  }

  /**
   * Renews an owner's lease, and answers with the workers unless they were shown a moment ago.
   *
   * @param follows whether the owner is to be shown changes as they come
   */
  void heartbeat(OwnerSession session, long sentAtMs, boolean follows, long nowMs) {
    session.follows = follows;
    if (session.isUnverified()) {
      // It may have been on its way while this box slept.
      return;
    }
    session.lease.onHeartbeat(sentAtMs, nowMs);
    if (expiresBeforeNextHeartbeat(session, nowMs)) {
      sendProbe(session, nowMs);
    }
    if (!follows || nowMs - session.rowsSentAtMs >= ROWS_RECENT_MS) {
      sendRows(session, nowMs);
    }
  }

  /**
   * A lease that ends before the next heartbeat stops every run. That happens where the first
   * heartbeat of a session took long, by which clocks are compared, as from an owner that has just
   * started.
   */
  private static boolean expiresBeforeNextHeartbeat(OwnerSession session, long nowMs) {
    return session.lease.remainingMs(nowMs) < RunTiming.HEARTBEAT_PERIOD_MS;
  }

  /**
   * Asks for an answer by which clocks are compared anew. To close such a session would open it
   * again from the start, while the owner has callers waiting.
   */
  private void sendProbe(OwnerSession session, long nowMs) {
    if (!session.isProbePending(nowMs)) {
      probeNumber++;
      session.recordProbe(probeNumber, nowMs);
      outbox.send(session.id, new SessionProbe(probeNumber));
    }
  }

  /** Starts nothing on any session until its owner has answered a probe. */
  void markAllUnverified(long sleptMs, long nowMs) {
    outbox.logDecision("mayHaveSlept", "", hostId, "ms=" + sleptMs);
    for (OwnerSession session : sessions.all()) {
      probeNumber++;
      session.markUnverified(nowMs);
      session.recordProbe(probeNumber, nowMs);
      outbox.send(session.id, new SessionProbe(probeNumber));
    }
  }

  /** Takes an owner's proof that a session goes on. */
  void proofReceived(OwnerSession session, long number, long sentAtMs, long nowMs) {
    if (session.acceptProof(number, sentAtMs, nowMs)) {
      String outcome = "leaseLeftMs=" + session.lease.remainingMs(nowMs);
      outbox.logDecision("sessionProven", "", session.ownerId, outcome);
    }
  }

  /** A host that may have slept itself proves nothing. */
  void probeReceived(OwnerSession session, long number, long nowMs) {
    if (!session.isUnverified()) {
      outbox.send(session.id, new SessionProof(number, nowMs));
    }
  }

  /** Takes an owner's word of what waits there for room. */
  void updateWaitingTasks(OwnerSession session, OwnerWaiting news, long nowMs) {
    session.replaceWaitingTasks(news.rows(), nowMs);
  }

  /**
   * Shows the workers to an owner whose session goes on on a new connection: what was shown on the
   * last one may not have come.
   */
  void resume(OwnerSession session, long nowMs) {
    String outcome = "beatAgeMs=" + session.lease.heartbeatAgeMs(nowMs);
    outbox.logDecision("sessionResumed", "", session.ownerId, outcome);
    runController.sendRecentCrashes(session, nowMs);
    sendRows(session, nowMs);
  }

  /** Notes that a session is over and can't go on; the owner's runs are stopped. */
  void end(long sessionId, String reason, long nowMs) {
    sessions.end(sessionId).ifPresent(session -> stopRunsOf(session, reason, nowMs));
  }

  private void close(OwnerSession session, String reason, long nowMs) {
    outbox.add(new HostEffect.CloseSession(session.id));
    end(session.id, reason, nowMs);
  }

  private void stopRunsOf(OwnerSession session, String reason, long nowMs) {
    int stopped = 0;
    for (WorkerInstance instance : instances.all()) {
      instance.reservations.forget(session.id);
      for (HostedRun run : instance.runs()) {
        if (run.sessionId == session.id) {
          run.limitEnd(bounds.ownerRunsEndByMs(session));
          runController.stop(instance, run, nowMs);
          stopped++;
        }
      }
    }
    String outcome =
        "reason=%s beatAgeMs=%d runsStopped=%d"
            .formatted(reason, session.lease.heartbeatAgeMs(nowMs), stopped);
    outbox.logDecision("ownerLost", "", session.ownerId, outcome);
  }

  /** Closes the sessions whose leases are over. */
  void closeExpired(long nowMs) {
    for (OwnerSession session : sessions.all()) {
      if (session.isUnverified() && session.unverifiedForMs(nowMs) >= PROOF_TIMEOUT_MS) {
        close(session, "not proven after a sleep", nowMs);
      } else if (isExpired(session, nowMs)) {
        close(session, "lease over", nowMs);
      }
    }
  }

  /** Where nothing of an owner runs, it need not renew its lease; it does before it orders. */
  private static boolean isExpired(OwnerSession session, long nowMs) {
    boolean leaseOver = session.lease.isExpired(nowMs);
    return leaseOver
        && (session.runCount > 0
            || session.lease.heartbeatAgeMs(nowMs) >= RunTiming.IDLE_SESSION_TIMEOUT_MS);
  }

  /** Tells owners whose runs of earlier sessions have come to their ends. */
  void notifyFormerRunsOver(long nowMs) {
    sessions.removeEndedWithoutRuns(instances::hasRunsOf);
    for (OwnerSession session : sessions.all()) {
      if (!session.formerRunsOver && areFormerRunsOver(session, nowMs)) {
        session.formerRunsOver = true;
        outbox.send(session.id, openedMessage(session));
      }
    }
  }

  /**
   * Shows the workers to every owner if something has changed since the last time, and to those at
   * once that were offered room. What owners don't wait for is put off for a moment, so that
   * several changes go out together.
   */
  void publishWorkers(long nowMs) {
    instances.all().forEach(instance -> roomAllocator.reassignExpired(instance, nowMs));
    RowUpdateThrottle.Recipients recipients =
        rowThrottle.recipients(rows(nowMs), sessions.size(), nowMs);
    for (OwnerSession session : sessions.all()) {
      if (session.rowsDue || isRecipient(session, recipients)) {
        sendRows(session, nowMs);
      }
    }
  }

  private static boolean isRecipient(
      OwnerSession session, RowUpdateThrottle.Recipients recipients) {
    return switch (recipients) {
      case NONE -> false;
      case FOLLOWERS -> session.follows;
      case ALL -> true;
    };
  }

  private void sendRows(OwnerSession session, long nowMs) {
    session.rowsDue = false;
    session.rowsSentAtMs = nowMs;
    List<WorkerRow> rows =
        instances.all().stream()
            .map(
                instance ->
                    instance.toRow(
                        instance.freeFor(session.id, nowMs), startGuard.refusesStarts(), nowMs))
            .toList();
    outbox.send(session.id, new HostRows(session.lastOrder, rows));
  }

  private List<WorkerRow> rows(long nowMs) {
    return instances.all().stream()
        .map(instance -> instance.toRow(instance.free(), startGuard.refusesStarts(), nowMs))
        .toList();
  }
}
