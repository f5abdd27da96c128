package io.hingehoist.run.host;

import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.WorkerCrashed;
import io.hingehoist.message.WorkerState;
import io.hingehoist.run.Rooms;
import java.util.Optional;

/**
 * The orders of a host to its workers: starts and stops, what became of them, and when a run is
 * provably over. The room of a worker is charged from the order of a run until its end is known.
 * Owned by {@link WorkerHost}.
 */
final class RunController {
  /** An order is sent so often before its number is barred. */
  private static final int MAX_STARTS = 3;

  /**
   * How late a call may be carried out that had no answer, where its deadline says nothing: it was
   * by the clock of a former life of the worker.
   */
  private static final long MAX_CALL_DELAY_MS = 15_000;

  /** A stop that failed sooner than a lost call would waits for the next tick. */
  private static final long MIN_STOP_RETRY_MS = 10;

  /**
   * From which unanswered call in a row on a new connection is tried: those that are kept fall
   * silent together. A lost call has cost its connection already.
   */
  private static final int FRESH_CONNECTION_AFTER_LOST_CALLS = 1;

  private final String hostId;
  private final WorkerInstances instances;
  private final OwnerSessions sessions;
  private final StartGuard startGuard;
  private final FencingToken token;
  private final LeaseBounds bounds;
  private final HostOutbox outbox;
  private final CrashLog crashes = new CrashLog();
  private long unansweredStartCount;

  RunController(
      String hostId,
      WorkerInstances instances,
      OwnerSessions sessions,
      StartGuard startGuard,
      FencingToken token,
      LeaseBounds bounds,
      HostOutbox outbox) {
    this.hostId = hostId;
    this.instances = instances;
    this.sessions = sessions;
    this.startGuard = startGuard;
    this.token = token;
    this.bounds = bounds;
    this.outbox = outbox;
  }

  // Starts.

  /** Starts the runs of an order, as far as they may start. */
  void start(OwnerSession session, StartRuns order, long nowMs) {
    session.lastOrder = Math.max(session.lastOrder, order.order());
    if (!session.allowsStarts(nowMs)) {
      // A beat that is on its way may yet renew the lease, so the owner must hear of each run.
      order.runs().forEach(run -> refuse(session.id, run, order.workerId(), RunRefusal.NOT_READY));
      return;
    }
    for (RunRef run : order.runs()) {
      start(session, order, run, nowMs);
    }
  }

  private void start(OwnerSession session, StartRuns order, RunRef run, long nowMs) {
    Optional<WorkerInstance> instance = instances.find(order.workerId());
    Optional<RunRefusal> refusal = refusalOf(instance, session, order, run, nowMs);
    if (refusal.isPresent()) {
      refuse(session.id, run, order.workerId(), refusal.get());
      return;
    }
    HostedRun hosted = new HostedRun(run, order, session.id, nowMs);
    instance.get().add(hosted);
    session.runCount++;
    instance.get().reservations.consume(session.id, order.need());
    callStart(instance.get(), hosted, nowMs);
  }

  private Optional<RunRefusal> refusalOf(
      Optional<WorkerInstance> found,
      OwnerSession session,
      StartRuns order,
      RunRef run,
      long nowMs) {
    if (!startGuard.zoneAllowsStarts()) {
      startGuard.countZoneRefusal();
      return Optional.of(RunRefusal.ZONE_EVACUATED);
    }
    Optional<WorkerInstance> ready =
        found.filter(instance -> acceptsRuns(instance.state(startGuard.isStopping(), nowMs)));
    if (ready.isEmpty()
        || ready.get().hasTask(run.task())
        || !bounds.allowsStart(ready.get(), nowMs)) {
      return Optional.of(RunRefusal.NOT_READY);
    }
    boolean fits = Rooms.fits(order.need(), ready.get().freeFor(session.id, nowMs));
    return fits ? Optional.empty() : Optional.of(RunRefusal.ROOM);
  }

  /**
   * That a worker fails what it runs, or does not get on, is shown to owners, who may have no
   * better one.
   */
  private static boolean acceptsRuns(WorkerState state) {
    return switch (state) {
      case READY, FAILING, SLOW, STALLED -> true;
      case DRAINING, SILENT -> false;
    };
  }

  /** Tells an owner that a run did not start: no call for it is without an answer. */
  private void refuse(long sessionId, RunRef run, String workerId, RunRefusal reason) {
    String outcome = "run=" + run.number() + " reason=" + reason;
    outbox.logDecision("runRefused", run.task(), workerId, outcome);
    outbox.send(sessionId, new RunNotStarted(run, reason));
  }

  private void callStart(WorkerInstance instance, HostedRun run, long nowMs) {
    run.lastCallAtMs = nowMs;
    long deadlineMs = instance.grantLease(bounds.latestEndMs(instance, nowMs), nowMs);
    run.startCallsExpireAtMs = instance.leaseOverAtMs();
    outbox.add(
        new HostEffect.StartCall(
            instance.id(),
            instance.info().workerId(),
            instance.info().address(),
            run.run,
            run.spec,
            deadlineMs,
            token.value(),
            callOptions(instance, run.unansweredCalls, 0)));
  }

  /** Returns when a call counts as lost, given how many in a row were. */
  static HostEffect.CallOptions callOptions(WorkerInstance instance, int lostInARow, long waitMs) {
    boolean fresh = lostInARow >= FRESH_CONNECTION_AFTER_LOST_CALLS;
    return new HostEffect.CallOptions(waitMs + instance.callTimeout.timeoutMs(), fresh);
  }

  /** Takes what became of a start. */
  void startCallCompleted(WorkerInstance instance, HostedRun run, StartResult answer, long nowMs) {
    switch (answer) {
      case StartResult.Started started -> {
        recordResponse(instance, run, nowMs);
        instance.updateClock(started.workerClockMs(), nowMs);
        if (run.state == HostedRun.State.ORDERED) {
          run.state = HostedRun.State.RUNNING;
        }
      }
      case StartResult.Fenced fenced -> {
        instance.updateClock(fenced.workerClockMs(), nowMs);
        raiseToken();
        repeatStart(instance, run, nowMs);
      }
      case StartResult.Late late -> {
        instance.updateClock(late.workerClockMs(), nowMs);
        repeatStart(instance, run, nowMs);
      }
      case StartResult.Refused refused -> {
        recordResponse(instance, run, nowMs);
        startRefused(instance, run, refused.reason(), nowMs);
      }
      case StartResult.Unanswered unanswered -> startUnanswered(instance, run, nowMs);
      case StartResult.OtherInstance gone -> endInstance(instance, "start met another life", nowMs);
      case StartResult.ConnectionRefused nobody -> {
        recordRefusedConnection(instance, nowMs);
        startRefused(instance, run, RunRefusal.NOT_READY, nowMs);
      }
    }
  }

  /**
   * A refusal speaks for its own call only. An earlier call that had no answer may have been
   * carried out, or may yet be, so the run is over only once its number is barred and a list shows
   * what became of it.
   */
  private void startRefused(WorkerInstance instance, HostedRun run, RunRefusal reason, long nowMs) {
    if (run.unansweredStarts == 0) {
      remove(instance, run);
      refuse(run.sessionId, run.run, instance.id(), reason);
      return;
    }
    String outcome =
        "run=%d reason=%s unansweredStarts=%d"
            .formatted(run.run.number(), reason, run.unansweredStarts);
    outbox.logDecision("repeatRefused", run.run.task(), instance.id(), outcome);
    invalidateNumber(instance, run, nowMs);
  }

  private static void recordResponse(WorkerInstance instance, HostedRun run, long nowMs) {
    run.unansweredCalls = 0;
    instance.callTimeout.recordResponse(nowMs - run.lastCallAtMs);
  }

  /**
   * The same order again is harmless: a worker takes a number once, however often and late it
   * comes. So the run starts a moment later, in place of elsewhere after its number was barred. In
   * the end a stop bars the number, so that the order can't be carried out afterwards.
   */
  private void startUnanswered(WorkerInstance instance, HostedRun run, long nowMs) {
    instance.callTimeout.recordLoss(nowMs);
    run.unansweredCalls++;
    run.unansweredStarts++;
    unansweredStartCount++;
    String outcome =
        "run=%d calls=%d waitedMs=%d"
            .formatted(run.run.number(), run.unansweredCalls, nowMs - run.lastCallAtMs);
    outbox.logDecision("startUnanswered", run.run.task(), instance.id(), outcome);
    if (mayStart(instance, run, nowMs) && run.unansweredCalls < MAX_STARTS) {
      callStart(instance, run, nowMs);
    } else {
      invalidateNumber(instance, run, nowMs);
    }
  }

  /**
   * Answers may be heard long after they came, by a host that stood still: an owner whose lease is
   * over may have started the task elsewhere, and the zone may have been evacuated. A start renews
   * the lease, which a silent worker's is not to be.
   */
  private boolean mayStart(WorkerInstance instance, HostedRun run, long nowMs) {
    return run.state == HostedRun.State.ORDERED
        && !instance.silent
        && bounds.allowsStart(instance, nowMs)
        && startGuard.zoneAllowsStarts()
        && sessions.find(run.sessionId).filter(s -> s.allowsStarts(nowMs)).isPresent();
  }

  private void repeatStart(WorkerInstance instance, HostedRun run, long nowMs) {
    if (mayStart(instance, run, nowMs)) {
      callStart(instance, run, nowMs);
    } else if (run.unansweredStarts > 0) {
      invalidateNumber(instance, run, nowMs);
    } else {
      endRun(instance, run, RunEnd.STOPPED);
    }
  }

  /** Takes it that a worker has seen a higher token than this host's. */
  void raiseToken() {
    token.raise();
    outbox.logDecision("tokenRaised", "", hostId, "token=" + token.value());
  }

  /**
   * A refused connection says that nobody listens there now, not that the runs of the worker are
   * over. Its lease is left to end; until then another life may answer at its address, which ends
   * them at once.
   */
  void recordRefusedConnection(WorkerInstance instance, long nowMs) {
    if (!instance.refusesConnections) {
      outbox.logDecision(
          "workerRefusesConnections", "", instance.id(), instance.describeState(nowMs));
      instance.refusesConnections = true;
      instance.refusesSinceMs = nowMs;
      instance.silent = true;
    }
  }

  // Stops.

  /** Stops a run on its owner's word. One that is not here is over. */
  void stop(long sessionId, RunRef run, long nowMs) {
    for (WorkerInstance instance : instances.all()) {
      Optional<HostedRun> found = instance.find(run);
      if (found.isPresent() && found.get().sessionId == sessionId) {
        stop(instance, found.get(), nowMs);
        return;
      }
    }
    outbox.send(sessionId, new RunEnded(run, RunEnd.LOST, 0));
  }

  /** Stops a run whose owner is lost or wants it stopped: others may count on its end. */
  void stop(WorkerInstance instance, HostedRun run, long nowMs) {
    run.limitEnd(bounds.stoppedRunEndsByMs(nowMs));
    invalidateNumber(instance, run, nowMs);
  }

  /** Bars the number of a run at its worker, unless that is under way. */
  private void invalidateNumber(WorkerInstance instance, HostedRun run, long nowMs) {
    if (run.state == HostedRun.State.ORDERED || run.state == HostedRun.State.RUNNING) {
      run.state = HostedRun.State.STOPPING;
      callStop(instance, run, nowMs);
    }
  }

  /** Orders again the stops of a worker that are not carried out and not on their way. */
  void repeatStops(WorkerInstance instance, long nowMs) {
    for (HostedRun run : instance.runs()) {
      if (run.state == HostedRun.State.STOPPING && !run.stopPending) {
        callStop(instance, run, nowMs);
      }
    }
  }

  private void callStop(WorkerInstance instance, HostedRun run, long nowMs) {
    run.stopSentAtMs = nowMs;
    run.lastCallAtMs = nowMs;
    run.stopPending = true;
    sendStop(instance, run.run, run.unansweredCalls);
  }

  private void sendStop(WorkerInstance instance, RunRef run, int lostInARow) {
    outbox.add(
        new HostEffect.StopCall(
            instance.id(),
            instance.info().workerId(),
            instance.info().address(),
            run,
            token.value(),
            callOptions(instance, lostInARow, 0)));
  }

  /** Stops a run that an earlier life of this host, or a late order, left behind. */
  void stopUnknownRun(WorkerInstance instance, RunRef run) {
    outbox.logDecision("strangerStopped", run.task(), instance.id(), "run=" + run.number());
    sendStop(instance, run, 0);
  }

  /**
   * Takes what became of a stop.
   *
   * @param answered whether the worker said that it was carried out
   */
  void stopCallCompleted(WorkerInstance instance, HostedRun run, boolean answered, long nowMs) {
    if (run.state != HostedRun.State.STOPPING) {
      return;
    }
    if (answered) {
      recordResponse(instance, run, nowMs);
      run.state = HostedRun.State.STOPPED;
      run.stopSentAtMs = nowMs;
      return;
    }
    instance.callTimeout.recordLoss(nowMs);
    run.unansweredCalls++;
    // A connection that is reset at once would be tried a thousand times a second.
    run.stopPending = nowMs - run.lastCallAtMs >= MIN_STOP_RETRY_MS;
    if (run.stopPending) {
      callStop(instance, run, nowMs);
    }
  }

  long unansweredStartCount() {
    return unansweredStartCount;
  }

  // Ends.

  /** Takes it that a life of a worker is over, and all its runs with it. */
  void endInstance(WorkerInstance instance, String reason, long nowMs) {
    instances.remove(instance);
    outbox.logDecision(
        "workerGone", "", instance.id(), "reason=" + reason + ' ' + instance.describeState(nowMs));
    recordCrash(instance, nowMs);
    instance.runs().forEach(run -> endRun(instance, run, RunEnd.LOST));
    outbox.add(new HostEffect.CloseConnections(instance.info().address()));
  }

  /** A worker that did not take its leave crashed, perhaps for one of its tasks. */
  private void recordCrash(WorkerInstance instance, long nowMs) {
    if (instance.info().draining() || !instance.hasRuns()) {
      return;
    }
    long crashedAtMs = instance.refusesConnections ? instance.refusesSinceMs : nowMs;
    WorkerCrashed news = crashes.add(instance, crashedAtMs, nowMs);
    String outcome = "again=%s tasks=%d".formatted(news.again(), news.tasks().size());
    outbox.logDecision("workerCrashed", news.tasks().getFirst(), instance.id(), outcome);
    outbox.sendToAll(news);
  }

  /** Tells an owner of the crashes that it may not have heard of. */
  void sendRecentCrashes(OwnerSession session, long nowMs) {
    crashes.recent(nowMs).forEach(news -> outbox.send(session.id, news));
  }

  /**
   * Takes it that a worker has started again under its name, at the same address. What ran in the
   * former life is over; an order that had no answer yet may be carried out by the later one, so it
   * is barred there before the task may start elsewhere.
   */
  void instanceRestarted(WorkerInstance former, WorkerInstance later, long nowMs) {
    instances.remove(former);
    outbox.logDecision("workerStartedAgain", "", later.id(), "former=" + former.id());
    recordCrash(former, nowMs);
    for (HostedRun run : former.runs()) {
      if (run.mayStillStart()) {
        former.remove(run);
        later.add(run);
        run.state = HostedRun.State.STOPPING;
        run.startCallsExpireAtMs = nowMs + MAX_CALL_DELAY_MS;
        callStop(later, run, nowMs);
      } else {
        endRun(former, run, RunEnd.LOST);
      }
    }
  }

  /** Takes it that a run is over without having been of use. */
  void endRun(WorkerInstance instance, HostedRun run, RunEnd end) {
    endRun(instance, run, end, run.orderedAtMs);
  }

  /** Takes it that a run is over, and tells its owner. */
  void endRun(WorkerInstance instance, HostedRun run, RunEnd end, long nowMs) {
    remove(instance, run);
    long ranMs = Math.max(0, nowMs - run.orderedAtMs);
    String outcome =
        "run=%d end=%s ms=%d unansweredStarts=%d"
            .formatted(run.run.number(), end, ranMs, run.unansweredStarts);
    outbox.logDecision("runOver", run.run.task(), instance.id(), outcome);
    outbox.send(run.sessionId, new RunEnded(run.run, end, ranMs));
  }

  private void remove(WorkerInstance instance, HostedRun run) {
    instance.remove(run);
    sessions.find(run.sessionId).ifPresent(session -> session.runCount--);
  }
}
