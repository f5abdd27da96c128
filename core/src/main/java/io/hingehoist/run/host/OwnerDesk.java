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
final class OwnerDesk {
  /** An owner that was shown the workers so lately knows that its host lives. */
  private static final long SHOWN_LATELY_MS = 100;

  /** Some round trips to an owner that is well; after it the owner's runs are stopped. */
  private static final long PROOF_PATIENCE_MS = 300;

  private final String hostId;
  private final long incarnation;
  private final RunTiming timing;
  private final long quietAtMs;
  private final WorkerLives lives;
  private final OwnerSessions sessions;
  private final StartGate gate;
  private final LeaseBounds bounds;
  private final RunOrders orders;
  private final RoomSharing sharing;
  private final HostOutbox outbox;
  private final ShownRows shownRows = new ShownRows();
  private long probeNumber;

  OwnerDesk(
      String hostId,
      long incarnation,
      RunTiming timing,
      WorkerLives lives,
      OwnerSessions sessions,
      StartGate gate,
      LeaseBounds bounds,
      RunOrders orders,
      RoomSharing sharing,
      HostOutbox outbox,
      long nowMs) {
    this.hostId = hostId;
    this.incarnation = incarnation;
    this.timing = timing;
    this.lives = lives;
    this.sessions = sessions;
    this.gate = gate;
    this.bounds = bounds;
    this.orders = orders;
    this.sharing = sharing;
    this.outbox = outbox;
    // What the last life of this host had ordered runs on for no longer than its lease.
    this.quietAtMs = nowMs + timing.workerRunsOverAfterMs();
  }

  /** Notes a session of an owner, and tells it when every run of its earlier ones is over. */
  void began(long sessionId, String ownerId, long nowMs) {
    sessions.ofOwner(ownerId).ifPresent(former -> close(former, "replaced", nowMs));
    LeaseClock lease = new LeaseClock(timing.ownerLeaseMs(), nowMs);
    OwnerSession session = new OwnerSession(sessionId, ownerId, lease);
    sessions.add(session);
    outbox.note("ownerFound", "", ownerId, "session=" + sessionId);
    session.formerRunsOver = isOverBefore(session, nowMs);
    outbox.send(sessionId, opened(session));
    orders.tellCrashes(session, nowMs);
    show(session, nowMs);
  }

  private SessionOpened opened(OwnerSession session) {
    return new SessionOpened(session.id, hostId, incarnation, gate.zone(), session.formerRunsOver);
  }

  private boolean isOverBefore(OwnerSession session, long nowMs) {
    return nowMs >= quietAtMs && !hasEarlierRuns(session);
  }

  private boolean hasEarlierRuns(OwnerSession session) {
    return lives.all().stream()
        .flatMap(life -> life.runs().stream())
        .anyMatch(run -> sessions.isFormer(run.sessionId, session));
  }

  /**
   * Renews an owner's lease, and answers with the workers unless they were shown a moment ago.
   *
   * @param follows whether the owner is to be shown changes as they come
   */
  void beat(OwnerSession session, long sentAtMs, boolean follows, long nowMs) {
    session.follows = follows;
    if (session.isDoubted()) {
      // It may have been on its way while this box slept.
      return;
    }
    session.lease.onBeat(sentAtMs, nowMs);
    if (endsTooEarly(session, nowMs)) {
      compareClocks(session, nowMs);
    }
    if (!follows || nowMs - session.shownAtMs >= SHOWN_LATELY_MS) {
      show(session, nowMs);
    }
  }

  /**
   * A lease that ends before the next heartbeat stops every run. That happens where the first
   * heartbeat of a session took long, by which clocks are compared, as from an owner that has just
   * started.
   */
  private static boolean endsTooEarly(OwnerSession session, long nowMs) {
    return session.lease.leftMs(nowMs) < RunTiming.HEARTBEAT_PERIOD_MS;
  }

  /**
   * Asks for an answer by which clocks are compared anew. To close such a session would open it
   * again from the start, while the owner has callers waiting.
   */
  private void compareClocks(OwnerSession session, long nowMs) {
    if (!session.isAsked(nowMs)) {
      probeNumber++;
      session.ask(probeNumber, nowMs);
      outbox.send(session.id, new SessionProbe(probeNumber));
    }
  }

  /** Starts nothing on any session until its owner has answered a probe. */
  void doubtAll(long sleptMs, long nowMs) {
    outbox.note("mayHaveSlept", "", hostId, "ms=" + sleptMs);
    for (OwnerSession session : sessions.all()) {
      probeNumber++;
      session.doubt(nowMs);
      session.ask(probeNumber, nowMs);
      outbox.send(session.id, new SessionProbe(probeNumber));
    }
  }

  /** Takes an owner's proof that a session goes on. */
  void proven(OwnerSession session, long number, long sentAtMs, long nowMs) {
    if (session.takeProof(number, sentAtMs, nowMs)) {
      String outcome = "leaseLeftMs=" + session.lease.leftMs(nowMs);
      outbox.note("sessionProven", "", session.ownerId, outcome);
    }
  }

  /** A host that may have slept itself proves nothing. */
  void probed(OwnerSession session, long number, long nowMs) {
    if (!session.isDoubted()) {
      outbox.send(session.id, new SessionProof(number, nowMs));
    }
  }

  /** Takes an owner's word of what waits there for room. */
  void waiting(OwnerSession session, OwnerWaiting news, long nowMs) {
    session.takeWaiting(news.rows(), nowMs);
  }

  /**
   * Shows the workers to an owner whose session goes on on a new connection: what was shown on the
   * last one may not have come.
   */
  void resumed(OwnerSession session, long nowMs) {
    String outcome = "beatAgeMs=" + session.lease.ageMs(nowMs);
    outbox.note("sessionResumed", "", session.ownerId, outcome);
    orders.tellCrashes(session, nowMs);
    show(session, nowMs);
  }

  /** Notes that a session is over and can't go on; the owner's runs are stopped. */
  void ended(long sessionId, String reason, long nowMs) {
    sessions.end(sessionId).ifPresent(session -> drop(session, reason, nowMs));
  }

  private void close(OwnerSession session, String reason, long nowMs) {
    outbox.add(new HostEffect.CloseSession(session.id));
    ended(session.id, reason, nowMs);
  }

  private void drop(OwnerSession session, String reason, long nowMs) {
    int stopped = 0;
    for (WorkerLife life : lives.all()) {
      life.offers.forget(session.id);
      for (HostedRun run : life.runs()) {
        if (run.sessionId == session.id) {
          run.noteDueOver(bounds.ofOwner(session));
          orders.stop(life, run, nowMs);
          stopped++;
        }
      }
    }
    String outcome =
        "reason=%s beatAgeMs=%d runsStopped=%d"
            .formatted(reason, session.lease.ageMs(nowMs), stopped);
    outbox.note("ownerLost", "", session.ownerId, outcome);
  }

  /** Closes the sessions whose leases are over. */
  void closeOver(long nowMs) {
    for (OwnerSession session : sessions.all()) {
      if (session.isDoubted() && session.doubtedMs(nowMs) >= PROOF_PATIENCE_MS) {
        close(session, "not proven after a sleep", nowMs);
      } else if (isOver(session, nowMs)) {
        close(session, "lease over", nowMs);
      }
    }
  }

  /** Where nothing of an owner runs, it need not renew its lease; it does before it orders. */
  private static boolean isOver(OwnerSession session, long nowMs) {
    boolean leaseOver = session.lease.isOver(nowMs);
    return leaseOver
        && (session.runCount > 0
            || session.lease.ageMs(nowMs) >= RunTiming.IDLE_SESSION_TIMEOUT_MS);
  }

  /** Tells owners whose runs of earlier sessions have come to their ends. */
  void tellOfFormerRuns(long nowMs) {
    sessions.forgetEnded(lives::hasRunsOf);
    for (OwnerSession session : sessions.all()) {
      if (!session.formerRunsOver && isOverBefore(session, nowMs)) {
        session.formerRunsOver = true;
        outbox.send(session.id, opened(session));
      }
    }
  }

  /**
   * Shows the workers to every owner if something has changed since the last time, and to those at
   * once that were offered room. What owners don't wait for is put off for a moment, so that
   * several changes go out together.
   */
  void showAll(long nowMs) {
    lives.all().forEach(life -> sharing.offerUnused(life, nowMs));
    ShownRows.Due due = shownRows.due(rows(nowMs), sessions.size(), nowMs);
    for (OwnerSession session : sessions.all()) {
      if (session.rowsDue || isMeant(session, due)) {
        show(session, nowMs);
      }
    }
  }

  private static boolean isMeant(OwnerSession session, ShownRows.Due due) {
    return switch (due) {
      case NOBODY -> false;
      case FOLLOWERS -> session.follows;
      case ALL -> true;
    };
  }

  private void show(OwnerSession session, long nowMs) {
    session.rowsDue = false;
    session.shownAtMs = nowMs;
    List<WorkerRow> rows =
        lives.all().stream()
            .map(life -> life.toRow(life.freeFor(session.id, nowMs), gate.takesNothing(), nowMs))
            .toList();
    outbox.send(session.id, new HostRows(session.lastOrder, rows));
  }

  private List<WorkerRow> rows(long nowMs) {
    return lives.all().stream()
        .map(life -> life.toRow(life.free(), gate.takesNothing(), nowMs))
        .toList();
  }
}
