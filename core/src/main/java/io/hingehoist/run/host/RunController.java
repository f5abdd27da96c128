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
 * Starts and stops runs at the workers of a host, handles the results of these calls, and decides
 * when a run is provably over.
 *
 * <p>A run occupies room at its worker from its start order until its end is known. Not
 * thread-safe: confined to the event-loop thread.
 */
final class RunController {
  /** The number of start calls that are sent for a run before its number is invalidated. */
  private static final int MAX_STARTS = 3;

  /**
   * How late a call without a response may still be carried out if its deadline does not apply,
   * because the deadline was set by the clock of a former instance of the worker.
   */
  private static final long MAX_CALL_DELAY_MS = 15_000;

  /** A stop call that failed earlier than this is repeated only at the next tick. */
  private static final long MIN_STOP_RETRY_MS = 10;

  /**
   * The number of consecutive lost calls after which a new connection is used: idle connections to
   * a worker break together. The connection of a lost call has already been closed.
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
  private final ReportedRuns reported = new ReportedRuns();
  private final HeldReports heldReports = new HeldReports();
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

  /** Starts the runs of an order that are allowed to start, and refuses the others. */
  void start(OwnerSession session, StartRuns order, long nowMs) {
    session.lastOrder = Math.max(session.lastOrder, order.order());
    if (!session.isLeaseValid(nowMs)) {
      // A heartbeat in transit may still renew the lease, so each run has to be refused explicitly.
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
        || !bounds.allowsStart(ready.get(), session, nowMs)) {
      return Optional.of(RunRefusal.NOT_READY);
    }
    boolean fits = Rooms.fits(order.need(), ready.get().freeFor(session.id, nowMs));
    return fits ? Optional.empty() : Optional.of(RunRefusal.ROOM);
  }

  /**
   * Returns whether a worker in a state accepts runs. A failing, slow or stalled worker does:
   * owners see its state and may have no better worker.
   */
  private static boolean acceptsRuns(WorkerState state) {
    return switch (state) {
      case READY, FAILING, SLOW, STALLED -> true;
      case DRAINING, SILENT -> false;
    };
  }

  /**
   * Reports to an owner that a run did not start. Requires that no call for it lacks a response.
   */
  private void refuse(long sessionId, RunRef run, String workerId, RunRefusal reason) {
    String outcome = "run=" + run.number() + " reason=" + reason;
    outbox.logDecision("runRefused", run.task(), workerId, outcome);
    outbox.send(sessionId, new RunNotStarted(run, reason));
  }

  private void callStart(WorkerInstance instance, HostedRun run, long nowMs) {
    run.lastCallAtMs = nowMs;
    long deadlineMs = instance.grantLease(bounds.latestEndMs(instance, nowMs), nowMs);
    run.lastStartCallAtMs = nowMs;
    run.startPending = true;
    run.startCallsExpireAtMs = instance.runsOverAtMs();
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

  /** Returns the options of a call after the given number of consecutive lost calls. */
  static HostEffect.CallOptions callOptions(
      WorkerInstance instance, int consecutiveLosses, long waitMs) {
    boolean fresh = consecutiveLosses >= FRESH_CONNECTION_AFTER_LOST_CALLS;
    return new HostEffect.CallOptions(waitMs + instance.callTimeout.timeoutMs(), fresh);
  }

  /** Handles the result of a start call. */
  void startCallCompleted(WorkerInstance instance, HostedRun run, StartResult result, long nowMs) {
    run.startPending = false;
    switch (result) {
      case StartResult.Started started -> {
        recordResponse(instance, run, nowMs);
        checkClock(instance, run, started, nowMs);
        instance.updateClock(started.workerClockMs(), nowMs);
        run.startConfirmed = true;
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
      case StartResult.OtherInstance other ->
          endInstance(
              instance, "start call reached another instance", EndEvidence.OTHER_INSTANCE, nowMs);
      case StartResult.ConnectionRefused connectionRefused -> {
        recordRefusedConnection(instance, nowMs);
        startRefused(instance, run, RunRefusal.NOT_READY, nowMs);
      }
    }
  }

  private void checkClock(
      WorkerInstance instance, HostedRun run, StartResult.Started started, long nowMs) {
    if (instance.checkClock(started.workerClockMs(), run.lastStartCallAtMs, nowMs)) {
      String outcome = "run=" + run.run.number();
      outbox.logDecision("workerClockBehind", run.run.task(), instance.id(), outcome);
      run.startCallsExpireAtMs = instance.runsOverAtMs();
    }
  }

  /**
   * Handles a refused start call. A refusal concerns only its own call: an earlier call without a
   * response may have been carried out or may still be. In that case the run is over only once its
   * number has been invalidated and a list shows whether it ran.
   */
  private void startRefused(WorkerInstance instance, HostedRun run, RunRefusal reason, long nowMs) {
    if (run.unansweredStarts == 0) {
      remove(instance, run);
      reported.record(run.run, instance.id(), EndEvidence.START_REFUSED, nowMs);
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
   * Repeats a start call without a response. This is safe, as a worker accepts a run number only
   * once, however often and late it arrives, and faster than invalidating the number and starting
   * the task elsewhere. After the last attempt a stop call invalidates the number, so that none of
   * the start calls can be carried out later.
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
   * Returns whether a start call may be sent. A host process that was paused may process a response
   * long after it arrived: an owner whose lease has expired may have started the task elsewhere,
   * and the zone may have been evacuated. A start call renews the worker's lease, which must not
   * happen for a silent worker.
   */
  private boolean mayStart(WorkerInstance instance, HostedRun run, long nowMs) {
    return run.state == HostedRun.State.ORDERED
        && !instance.silent
        && startGuard.zoneAllowsStarts()
        && sessions
            .find(run.sessionId)
            .filter(session -> session.isLeaseValid(nowMs))
            .filter(session -> bounds.allowsStart(instance, session, nowMs))
            .isPresent();
  }

  private void repeatStart(WorkerInstance instance, HostedRun run, long nowMs) {
    if (mayStart(instance, run, nowMs)) {
      callStart(instance, run, nowMs);
    } else if (run.unansweredStarts > 0) {
      invalidateNumber(instance, run, nowMs);
    } else {
      endRun(instance, run, RunEnd.STOPPED, EndEvidence.START_REFUSED, nowMs);
    }
  }

  /**
   * Raises the fencing token after a worker has seen a higher one, or to fence off earlier calls.
   */
  void raiseToken() {
    token.raise();
    outbox.logDecision("tokenRaised", "", hostId, "token=" + token.value());
  }

  /**
   * Handles a refused connection. It shows that no process listens at the address now, but not that
   * the runs of the worker are over. The lease is left to expire; if another instance responds at
   * the address before that, the runs are over at once.
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

  /** Stops a run at its owner's request. A run that is not known here is reported as over. */
  void stop(long sessionId, RunRef run, long nowMs) {
    for (WorkerInstance instance : instances.all()) {
      Optional<HostedRun> found = instance.find(run);
      if (found.isPresent() && found.get().sessionId == sessionId) {
        stop(instance, found.get(), nowMs);
        return;
      }
    }
    if (!heldReports.contains(sessionId, run)) {
      outbox.send(sessionId, new RunEnded(run, RunEnd.LOST, 0));
    }
  }

  /** Stops a run whose owner is lost or requests it; other processes may rely on its end. */
  void stop(WorkerInstance instance, HostedRun run, long nowMs) {
    run.limitEnd(bounds.stoppedRunEndsByMs(nowMs));
    invalidateNumber(instance, run, nowMs);
  }

  /** Invalidates the number of a run at its worker by a stop call, unless one has been sent. */
  private void invalidateNumber(WorkerInstance instance, HostedRun run, long nowMs) {
    switch (run.state) {
      case ORDERED, RUNNING, UNCONFIRMED -> {
        run.state = HostedRun.State.STOPPING;
        callStop(instance, run, nowMs);
      }
      case STOPPING, STOPPED -> {}
    }
  }

  /** Stops a run that continues although the worker has confirmed its stop. */
  void stopAgain(WorkerInstance instance, HostedRun run, long nowMs) {
    outbox.logDecision(
        "stoppedRunListed", run.run.task(), instance.id(), "run=" + run.run.number());
    run.state = HostedRun.State.STOPPING;
    callStop(instance, run, nowMs);
  }

  /** Repeats the stop calls of a worker that failed and are not pending. */
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
    addStopCall(instance, run.run, run.unansweredCalls);
  }

  private void addStopCall(WorkerInstance instance, RunRef run, int consecutiveLosses) {
    outbox.add(
        new HostEffect.StopCall(
            instance.id(),
            instance.info().workerId(),
            instance.info().address(),
            run,
            token.value(),
            callOptions(instance, consecutiveLosses, 0)));
  }

  /** Stops a run that a former incarnation of this host or a late start call has started. */
  void stopUnknownRun(WorkerInstance instance, RunRef run, long nowMs) {
    String outcome = "run=%d %s".formatted(run.number(), describeReport(run, nowMs));
    outbox.logDecision("strangerStopped", run.task(), instance.id(), outcome);
    addStopCall(instance, run, 0);
  }

  /**
   * Handles the result of a stop call.
   *
   * @param confirmed whether the worker confirmed the stop
   */
  void stopCallCompleted(WorkerInstance instance, HostedRun run, boolean confirmed, long nowMs) {
    if (run.state != HostedRun.State.STOPPING) {
      return;
    }
    if (confirmed) {
      recordResponse(instance, run, nowMs);
      run.state = HostedRun.State.STOPPED;
      run.stopSentAtMs = nowMs;
      return;
    }
    instance.callTimeout.recordLoss(nowMs);
    run.unansweredCalls++;
    // A connection that is reset at once would otherwise be retried a thousand times a second.
    run.stopPending = nowMs - run.lastCallAtMs >= MIN_STOP_RETRY_MS;
    if (run.stopPending) {
      callStop(instance, run, nowMs);
    }
  }

  long unansweredStartCount() {
    return unansweredStartCount;
  }

  // Ends.

  /** Removes a worker instance that has ended, and ends all its runs. */
  void endInstance(WorkerInstance instance, String reason, EndEvidence evidence, long nowMs) {
    instances.remove(instance);
    outbox.logDecision(
        "workerGone", "", instance.id(), "reason=" + reason + ' ' + instance.describeState(nowMs));
    recordCrash(instance, nowMs);
    instance.runs().forEach(run -> endRun(instance, run, RunEnd.LOST, evidence, nowMs));
    if (evidence == EndEvidence.OTHER_INSTANCE) {
      releaseReportsOf(instance.info().workerId());
    }
    outbox.add(new HostEffect.CloseConnections(instance.info().address()));
  }

  /**
   * Reports a crash to all owners if a worker ended with runs and without announcing it: one of its
   * tasks may be the cause.
   */
  private void recordCrash(WorkerInstance instance, long nowMs) {
    if (instance.info().draining() || !instance.hasRuns()) {
      return;
    }
    long crashedAtMs = instance.refusesConnections ? instance.refusesSinceMs : nowMs;
    WorkerCrashed report = crashes.add(instance, crashedAtMs, nowMs);
    String outcome = "again=%s tasks=%d".formatted(report.again(), report.tasks().size());
    outbox.logDecision("workerCrashed", report.tasks().getFirst(), instance.id(), outcome);
    outbox.sendToAll(report);
  }

  /** Sends an owner the recent crashes, as it may have missed them. */
  void sendRecentCrashes(OwnerSession session, long nowMs) {
    crashes.recent(nowMs).forEach(report -> outbox.send(session.id, report));
  }

  /**
   * Handles the restart of a worker under the same name and address. Calls for the former instance
   * reach the new one until the host notices the restart, so all runs are handed over: a list of
   * the new instance shows which of the confirmed runs it started; the others are over. A start
   * call without a response may still be carried out by the new instance, so its run number is
   * invalidated there before the task may start elsewhere.
   */
  void instanceRestarted(WorkerInstance former, WorkerInstance restarted, long nowMs) {
    instances.remove(former);
    outbox.logDecision("workerStartedAgain", "", restarted.id(), "former=" + former.id());
    recordCrash(former, nowMs);
    for (HostedRun run : former.runs()) {
      former.remove(run);
      restarted.add(run);
      run.startCallsExpireAtMs = nowMs + MAX_CALL_DELAY_MS;
      handOver(run, restarted, nowMs);
    }
  }

  private void handOver(HostedRun run, WorkerInstance restarted, long nowMs) {
    if (run.mayStillStart() || run.state == HostedRun.State.STOPPING) {
      run.state = HostedRun.State.STOPPING;
      callStop(restarted, run, nowMs);
    } else if (run.state != HostedRun.State.STOPPED) {
      run.markUnconfirmed(nowMs);
    }
  }

  /**
   * Processes the first list of a restarted worker for a run whose start was confirmed before the
   * restart was noticed.
   */
  void confirm(WorkerInstance instance, HostedRun run, PollResult.Listed listed, long nowMs) {
    if (listed.contains(run.run)) {
      run.state = HostedRun.State.RUNNING;
      instance.assumeLongestLease(nowMs);
      run.startCallsExpireAtMs = instance.runsOverAtMs();
    } else {
      endRun(instance, run, RunEnd.LOST, EndEvidence.RESTARTED, nowMs);
    }
  }

  /**
   * Returns whether no start call of a run can be carried out any more. A worker that restarts
   * under the same name takes calls for its former instance, and their deadlines are of another
   * clock.
   */
  static boolean areStartsImpossible(WorkerInstance instance, HostedRun run, long nowMs) {
    long lateUntilMs =
        instance.mayRestartUnderSameName() && run.mayStillStart()
            ? run.lastStartCallAtMs + MAX_CALL_DELAY_MS
            : 0;
    return nowMs >= Math.max(run.startCallsExpireAtMs, lateUntilMs);
  }

  /** Ends a run and reports it to its owner, with its duration if the worker listed the end. */
  void endRun(
      WorkerInstance instance, HostedRun run, RunEnd end, EndEvidence evidence, long nowMs) {
    remove(instance, run);
    long ranMs = evidence == EndEvidence.LISTED ? Math.max(0, nowMs - run.orderedAtMs) : 0;
    boolean held = mayStartAtLaterInstance(instance, run, end, evidence, nowMs);
    String outcome =
        "run=%d end=%s evidence=%s ms=%d unansweredStarts=%d held=%s"
            .formatted(run.run.number(), end, evidence, ranMs, run.unansweredStarts, held);
    outbox.logDecision("runOver", run.run.task(), instance.id(), outcome);
    reported.record(run.run, instance.id(), evidence, nowMs);
    RunEnded report = new RunEnded(run.run, end, ranMs);
    if (held) {
      long releaseAtMs = run.lastStartCallAtMs + MAX_CALL_DELAY_MS;
      heldReports.add(
          new HeldReports.Held(instance.info().workerId(), run.sessionId, report, releaseAtMs));
    } else {
      outbox.send(run.sessionId, report);
    }
  }

  /**
   * Returns whether a start call of an ended run may still be carried out by a later instance of
   * its worker, which knows neither its number nor its deadline. A task that is done does not start
   * again.
   */
  private static boolean mayStartAtLaterInstance(
      WorkerInstance instance, HostedRun run, RunEnd end, EndEvidence evidence, long nowMs) {
    boolean mayStart =
        switch (evidence) {
          case LISTED -> run.hasOtherLostStarts();
          case NOT_LISTED -> run.mayStillStart();
          case START_REFUSED, LEASE_EXPIRED, OTHER_INSTANCE, RESTARTED -> false;
        };
    return mayStart
        && end != RunEnd.DONE
        && instance.mayRestartUnderSameName()
        && nowMs < run.lastStartCallAtMs + MAX_CALL_DELAY_MS;
  }

  /** Sends the reports whose runs can't start any more, as the time for late calls has passed. */
  void releaseDueReports(long nowMs) {
    heldReports.removeDue(nowMs).forEach(this::release);
  }

  /** Sends the reports of runs at a worker that was replaced by one with another name. */
  private void releaseReportsOf(String workerId) {
    heldReports.removeOfWorker(workerId).forEach(this::release);
  }

  private void release(HeldReports.Held held) {
    outbox.send(held.sessionId(), held.report());
  }

  /** Drops the reports to a session that has ended. */
  void dropReportsTo(long sessionId) {
    heldReports.removeOfSession(sessionId);
  }

  /** Returns what was reported of a run that is not known any more, for the log. */
  String describeReport(RunRef run, long nowMs) {
    return reported.describe(run, nowMs);
  }

  private void remove(WorkerInstance instance, HostedRun run) {
    instance.remove(run);
    sessions.find(run.sessionId).ifPresent(session -> session.runCount--);
  }
}
