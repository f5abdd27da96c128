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
 * Manages the sessions of owners with a host: renews their leases, stops the runs of a session that
 * ends, and sends the worker rows to owners. Not thread-safe: confined to the event-loop thread.
 */
final class OwnerSessionManager {
  /** An owner that received worker rows this recently knows that the host is alive. */
  private static final long ROWS_RECENT_MS = 100;

  /** Several round trips to a healthy owner; after that the runs of the owner are stopped. */
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
    // Runs started by the previous incarnation of this host last no longer than the worker's lease.
    this.formerIncarnationOverAtMs = nowMs + timing.workerRunsOverAfterMs();
  }

  /**
   * Opens a session of an owner. The owner is notified when all runs of its former sessions are
   * over.
   */
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
   * Renews an owner's lease and responds with the worker rows unless they were sent recently.
   *
   * @param follows whether the owner receives changes as they occur
   */
  void heartbeat(OwnerSession session, long sentAtMs, boolean follows, long nowMs) {
    session.follows = follows;
    if (session.isUnverified()) {
      // The heartbeat may have been in transit while this box was asleep.
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
   * Returns whether a lease expires before the next heartbeat, which would stop every run. This
   * happens if the first heartbeat of a session, which yields the clock offset, was delayed, as
   * from an owner that has just started.
   */
  private static boolean expiresBeforeNextHeartbeat(OwnerSession session, long nowMs) {
    return session.lease.remainingMs(nowMs) < RunTiming.HEARTBEAT_INTERVAL_MS;
  }

  /**
   * Sends a probe whose answer yields a better clock offset. Closing the session instead would make
   * the owner open a new one while its callers wait.
   */
  private void sendProbe(OwnerSession session, long nowMs) {
    if (!session.isProbePending(nowMs)) {
      probeNumber++;
      session.recordProbe(probeNumber, nowMs);
      outbox.send(session.id, new SessionProbe(probeNumber));
    }
  }

  /**
   * Handles a possible sleep of this box: prevents starts on every session until its owner has
   * answered a probe, and brings forward the times by which runs must be over.
   */
  void mayHaveSlept(long sleptMs, long nowMs) {
    outbox.logDecision("mayHaveSlept", "", hostId, "ms=" + sleptMs);
    instances.all().forEach(instance -> instance.onSuspectedSleep(sleptMs));
    for (OwnerSession session : sessions.all()) {
      probeNumber++;
      session.markUnverified(sleptMs, nowMs);
      session.recordProbe(probeNumber, nowMs);
      outbox.send(session.id, new SessionProbe(probeNumber));
    }
  }

  /** Handles an owner's proof that its session still exists. */
  void proofReceived(OwnerSession session, long number, long sentAtMs, long nowMs) {
    if (session.acceptProof(number, sentAtMs, nowMs)) {
      String outcome = "leaseLeftMs=" + session.lease.remainingMs(nowMs);
      outbox.logDecision("sessionProven", "", session.ownerId, outcome);
    }
  }

  /**
   * Answers an owner's probe if the owner's lease is valid and verified. A session without runs
   * outlasts its lease, so that it is open proves nothing.
   */
  void probeReceived(OwnerSession session, long number, long nowMs) {
    if (session.isLeaseValid(nowMs)) {
      outbox.send(session.id, new SessionProof(number, nowMs));
    }
  }

  /** Updates the tasks that wait for room at an owner. */
  void updateWaitingTasks(OwnerSession session, OwnerWaiting report, long nowMs) {
    session.replaceWaitingTasks(report.rows(), nowMs);
  }

  /**
   * Sends the worker rows to an owner whose session continues on a new connection, as those sent on
   * the previous connection may not have arrived.
   */
  void resume(OwnerSession session, long nowMs) {
    String outcome = "beatAgeMs=" + session.lease.heartbeatAgeMs(nowMs);
    outbox.logDecision("sessionResumed", "", session.ownerId, outcome);
    runController.sendRecentCrashes(session, nowMs);
    sendRows(session, nowMs);
  }

  /** Ends a session that can't be resumed and stops its runs. */
  void end(long sessionId, String reason, long nowMs) {
    sessions.end(sessionId).ifPresent(session -> stopRunsOf(session, reason, nowMs));
  }

  private void close(OwnerSession session, String reason, long nowMs) {
    outbox.add(new HostEffect.CloseSession(session.id));
    end(session.id, reason, nowMs);
  }

  private void stopRunsOf(OwnerSession session, String reason, long nowMs) {
    runController.dropReportsTo(session.id);
    int stopped = 0;
    for (WorkerInstance instance : instances.all()) {
      instance.reservations.cancel(session.id);
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

  /** Closes the sessions whose leases have expired. */
  void closeExpired(long nowMs) {
    for (OwnerSession session : sessions.all()) {
      if (session.isUnverified() && session.unverifiedForMs(nowMs) >= PROOF_TIMEOUT_MS) {
        close(session, "not proven after a sleep", nowMs);
      } else if (isExpired(session, nowMs)) {
        close(session, "lease over", nowMs);
      }
    }
  }

  /**
   * Returns whether a session has expired. An owner without runs need not renew its lease; it does
   * so before it sends an order.
   */
  private static boolean isExpired(OwnerSession session, long nowMs) {
    boolean leaseExpired = session.lease.isExpired(nowMs);
    return leaseExpired
        && (session.runCount > 0
            || session.lease.heartbeatAgeMs(nowMs) >= RunTiming.IDLE_SESSION_TIMEOUT_MS);
  }

  /** Notifies the owners whose runs of former sessions are now all over. */
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
   * Sends the worker rows to owners if they have changed, and without delay to owners for which
   * room was reserved. Changes that are not urgent are delayed briefly, so that several are sent
   * together.
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
