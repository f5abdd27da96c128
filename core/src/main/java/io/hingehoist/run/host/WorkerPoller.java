package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunRef;
import io.hingehoist.run.RunTiming;
import java.util.List;
import java.util.Optional;

/**
 * Polls the workers of a host for their lists of running and ended runs, and processes these lists.
 *
 * <p>The same call renews the worker's lease. Not thread-safe: confined to the event-loop thread.
 */
final class WorkerPoller {
  /**
   * How long a worker with runs may delay its response until a run ends. A lost call delays the
   * reports of ended runs by this time, and a stalled worker is detected after two lists.
   */
  private static final long WAIT_WITH_RUNS_MS = 50;

  /** The same while calls are being lost, so that a lost call delays these reports less. */
  private static final long WAIT_WHEN_LOSSY_MS = 20;

  /**
   * The same for a worker without runs. A run that starts meanwhile has a lease of 800 ms, which
   * the next call renews, so 300 ms remain for that call.
   */
  private static final long WAIT_WITHOUT_RUNS_MS = 500;

  private static final long SILENT_RETRY_MS = 50;

  /** If one call in ten is lost, a healthy worker appears silent once in 1,000 calls. */
  private static final int SILENT_AFTER_LOST_POLLS = 3;

  private static final long MIN_POLL_INTERVAL_MS = 2;

  private final RunTiming timing;
  private final WorkerInstances instances;
  private final FencingToken token;
  private final LeaseBounds bounds;
  private final RunController runController;
  private final FreedRoomAllocator roomAllocator;
  private final HostOutbox outbox;
  private long unknownEndCount;

  WorkerPoller(
      RunTiming timing,
      WorkerInstances instances,
      FencingToken token,
      LeaseBounds bounds,
      RunController runController,
      FreedRoomAllocator roomAllocator,
      HostOutbox outbox) {
    this.timing = timing;
    this.instances = instances;
    this.token = token;
    this.bounds = bounds;
    this.runController = runController;
    this.roomAllocator = roomAllocator;
    this.outbox = outbox;
  }

  /** Polls a worker if a poll is due. */
  void pollIfDue(WorkerInstance instance, long nowMs) {
    if (!instance.pollPending && nowMs >= instance.nextPollAtMs) {
      poll(instance, nowMs);
    }
  }

  /** Polls a worker unless a poll is pending. */
  void poll(WorkerInstance instance, long nowMs) {
    if (instance.pollPending) {
      return;
    }
    instance.pollPending = true;
    instance.pollSentAtMs = nowMs;
    long waitMs = waitMs(instance, nowMs);
    // The lease of a worker that may be lost is left to expire, so that its runs are over at a
    // known time.
    long overAtMs = bounds.latestEndMs(instance, nowMs);
    boolean renewsLease =
        instance.lostPolls == 0
            && !instance.silent
            && !instance.hasUnknownRuns
            && instance.hasRuns()
            && overAtMs > Math.max(nowMs, instance.runsOverAtEarliestMs());
    long deadlineMs = renewsLease ? instance.grantLease(overAtMs, nowMs) : 0;
    outbox.add(
        new HostEffect.PollCall(
            instance.id(),
            instance.info().workerId(),
            instance.info().address(),
            deadlineMs,
            token.value(),
            instance.lastSeen,
            waitMs,
            RunController.callOptions(instance, instance.lostPolls, waitMs)));
  }

  /**
   * Returns how long a worker may delay its response. The first list is requested without delay, as
   * no run is started before it.
   */
  private long waitMs(WorkerInstance instance, long nowMs) {
    if (instance.silent || !instance.polled) {
      return 0;
    }
    if (!instance.hasRuns()) {
      return WAIT_WITHOUT_RUNS_MS;
    }
    long maxMs = instance.callTimeout.isLossy(nowMs) ? WAIT_WHEN_LOSSY_MS : WAIT_WITH_RUNS_MS;
    return Math.min(maxMs, msUntilStopsComplete(instance, nowMs));
  }

  /** Returns the time until a list can show that a stopped run is over. */
  private long msUntilStopsComplete(WorkerInstance instance, long nowMs) {
    return instance.runs().stream()
        .filter(run -> run.state == HostedRun.State.STOPPED)
        .mapToLong(run -> Math.max(0, run.stopSentAtMs + timing.killGraceMs() - nowMs))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Handles the result of a poll. */
  void pollCompleted(WorkerInstance instance, PollResult result, long nowMs) {
    instance.pollPending = false;
    if (result instanceof PollResult.Listed listed
        && listed.startedAtEpochMs() > instance.startedAtEpochMs()) {
      instanceRestarted(instance, listed, nowMs);
      return;
    }
    switch (result) {
      // A list of another instance, or without a start time, does not apply to this instance.
      case PollResult.Listed listed when listed.startedAtEpochMs() != instance.startedAtEpochMs() ->
          recordLostPoll(instance, nowMs);
      case PollResult.Listed listed -> {
        boolean newEnds = processList(instance, listed, nowMs);
        boolean respondedAtOnce = !newEnds && nowMs - instance.pollSentAtMs < MIN_POLL_INTERVAL_MS;
        instance.nextPollAtMs = respondedAtOnce ? nowMs + MIN_POLL_INTERVAL_MS : nowMs;
      }
      case PollResult.Fenced fenced -> {
        instance.updateClock(fenced.workerClockMs(), nowMs);
        runController.raiseToken();
      }
      case PollResult.Unanswered unanswered -> recordLostPoll(instance, nowMs);
      case PollResult.OtherInstance other -> {
        runController.endInstance(
            instance, "poll reached another instance", EndEvidence.OTHER_INSTANCE, nowMs);
        return;
      }
      case PollResult.ConnectionRefused refused -> {
        runController.recordRefusedConnection(instance, nowMs);
        instance.lostPolls++;
        instance.nextPollAtMs = nowMs + SILENT_RETRY_MS;
      }
    }
    if (nowMs >= instance.nextPollAtMs) {
      poll(instance, nowMs);
    }
  }

  /** Handles the list of a restarted instance that responded to a call for its predecessor. */
  private void instanceRestarted(WorkerInstance former, PollResult.Listed listed, long nowMs) {
    WorkerInfo info = former.info().asRestarted(listed.startedAtEpochMs());
    WorkerInstance restarted = new WorkerInstance(info, timing, nowMs);
    runController.raiseToken();
    instances.add(restarted);
    runController.instanceRestarted(former, restarted, nowMs);
    poll(restarted, nowMs);
  }

  /**
   * Records a lost poll. A single loss is no evidence of a silent worker, so the next poll is sent
   * at once: a pause would delay the reports of ended runs.
   */
  private void recordLostPoll(WorkerInstance instance, long nowMs) {
    instance.lostPolls++;
    instance.callTimeout.recordLoss(nowMs);
    if (instance.lostPolls == SILENT_AFTER_LOST_POLLS) {
      outbox.logDecision("workerSilent", "", instance.id(), instance.describeState(nowMs));
      instance.silent = true;
    }
    instance.nextPollAtMs = instance.silent ? nowMs + SILENT_RETRY_MS : nowMs;
  }

  private boolean processList(WorkerInstance instance, PollResult.Listed listed, long nowMs) {
    instance.updateClock(listed.workerClockMs(), nowMs);
    instance.confirmInstance();
    instance.polled = true;
    instance.lostPolls = 0;
    if (instance.silent) {
      outbox.logDecision("workerAnswers", "", instance.id(), instance.describeState(nowMs));
      instance.silent = false;
      instance.refusesConnections = false;
    }
    boolean newEnds = false;
    for (PollResult.Ended ended : listed.ended()) {
      if (ended.number() > instance.lastSeen) {
        newEnds = true;
        instance.lastSeen = ended.number();
        processEnd(instance, ended, nowMs);
      }
    }
    recordProgress(instance, listed, nowMs);
    instance.runs().forEach(run -> processRun(instance, run, listed, nowMs));
    stopUnknownRuns(instance, listed, nowMs);
    return newEnds;
  }

  private void stopUnknownRuns(WorkerInstance instance, PollResult.Listed listed, long nowMs) {
    List<RunRef> unknownRuns =
        listed.running().stream()
            .map(PollResult.Running::run)
            .filter(run -> instance.find(run).isEmpty())
            .toList();
    unknownRuns.forEach(run -> runController.stopUnknownRun(instance, run, nowMs));
    instance.hasUnknownRuns = !unknownRuns.isEmpty();
  }

  private void recordProgress(WorkerInstance instance, PollResult.Listed listed, long nowMs) {
    for (PollResult.Running entry : listed.running()) {
      instance
          .find(entry.run())
          .filter(run -> run.state == HostedRun.State.RUNNING)
          .ifPresent(run -> instance.progress.recordProgress(run, entry.percent(), nowMs));
    }
    if (instance.progress.judge(nowMs)) {
      outbox.logDecision("workerPace", "", instance.id(), "pace=" + instance.progress.rate(nowMs));
    }
  }

  private void processEnd(WorkerInstance instance, PollResult.Ended ended, long nowMs) {
    if (ended.end() == RunEnd.DONE) {
      instance.failures.recordSuccess();
    } else if (ended.end() == RunEnd.FAILED && instance.failures.recordFailure(nowMs)) {
      outbox.logDecision("workerFailing", "", instance.id(), "last=" + ended.run().task());
    }
    Optional<HostedRun> found = instance.find(ended.run());
    if (found.isPresent()) {
      end(instance, found.get(), ended.end(), nowMs);
    } else {
      recordUnknownEnd(instance, ended, nowMs);
    }
  }

  /**
   * Records the end of an unknown run: a former incarnation of this host started it, or this host
   * assumed its end too early.
   */
  private void recordUnknownEnd(WorkerInstance instance, PollResult.Ended ended, long nowMs) {
    unknownEndCount++;
    String outcome =
        "run=%d end=%s %s"
            .formatted(
                ended.run().number(),
                ended.end(),
                runController.describeReport(ended.run(), nowMs));
    outbox.logDecision("unknownRunEnded", ended.run().task(), instance.id(), outcome);
  }

  long unknownEndCount() {
    return unknownEndCount;
  }

  private void end(WorkerInstance instance, HostedRun run, RunEnd end, long nowMs) {
    if (end == RunEnd.DONE) {
      instance.recordSuccess(run, nowMs);
    }
    Room need = run.need;
    boolean wasNearlyFull = instance.isNearlyFullFor(need);
    runController.endRun(instance, run, end, EndEvidence.LISTED, nowMs);
    if (wasNearlyFull) {
      roomAllocator.reserve(instance, need, nowMs);
    }
  }

  private void processRun(
      WorkerInstance instance, HostedRun run, PollResult.Listed listed, long nowMs) {
    if (run.isConfirmedBy(instance.pollSentAtMs)) {
      runController.confirm(instance, run, listed, nowMs);
    } else {
      endIfGone(instance, run, listed, nowMs);
    }
  }

  /**
   * Ends a run that is missing in a list if it can't start any more: its stop was confirmed before
   * the list was requested, or the deadlines of its start calls had passed. A run that is listed
   * although its stop was confirmed is stopped again.
   */
  private void endIfGone(
      WorkerInstance instance, HostedRun run, PollResult.Listed listed, long nowMs) {
    boolean startsImpossible =
        switch (run.state) {
          case STOPPED -> instance.pollSentAtMs >= run.stopSentAtMs + timing.killGraceMs();
          case STOPPING -> instance.pollSentAtMs >= run.startCallsExpireAtMs;
          case ORDERED, RUNNING, UNCONFIRMED -> false;
        };
    if (!startsImpossible) {
      return;
    }
    if (!listed.contains(run.run)) {
      runController.endRun(instance, run, RunEnd.STOPPED, EndEvidence.NOT_LISTED, nowMs);
    } else if (run.state == HostedRun.State.STOPPED) {
      runController.stopAgain(instance, run, nowMs);
    }
  }

  /**
   * Ends the runs of a silent worker after its lease has expired: the worker has killed them by
   * then.
   */
  void endRunsAfterLease(WorkerInstance instance, long nowMs) {
    if (!instance.silent || !instance.areRunsOver(nowMs)) {
      return;
    }
    List<HostedRun> over =
        instance.runs().stream()
            .filter(run -> RunController.areStartsImpossible(instance, run, nowMs))
            .toList();
    if (instance.refusesConnections && over.size() == instance.runs().size()) {
      runController.endInstance(
          instance,
          "connections refused until its lease expired",
          EndEvidence.LEASE_EXPIRED,
          nowMs);
      return;
    }
    over.forEach(
        run -> runController.endRun(instance, run, RunEnd.LOST, EndEvidence.LEASE_EXPIRED, nowMs));
  }
}
