package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunRef;
import io.hingehoist.run.RunTiming;
import java.util.List;
import java.util.Optional;

/**
 * The lists that a host asks of its workers: what runs there, what has ended, how it gets on. The
 * same call renews the worker's lease. Owned by {@link WorkerHost}.
 */
final class WorkerPoller {
  /**
   * How long a worker that runs something may wait for an end. A lost call hides ends so long, and
   * a worker that stands still is known after two lists.
   */
  private static final long WAIT_WITH_RUNS_MS = 50;

  /** The same while calls get lost, so that ends are hidden for a shorter time. */
  private static final long WAIT_WHEN_LOSSY_MS = 20;

  /**
   * The same for a worker that runs nothing. A run that begins meanwhile has a lease of 800 ms,
   * which the next call renews, so 300 are left for that call.
   */
  private static final long WAIT_WITHOUT_RUNS_MS = 500;

  private static final long SILENT_RETRY_MS = 50;

  /** While one call of ten gets lost, a worker that is well looks silent once in 1,000 calls. */
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

  /** Asks for a list if one is due. */
  void pollIfDue(WorkerInstance instance, long nowMs) {
    if (!instance.pollPending && nowMs >= instance.nextPollAtMs) {
      poll(instance, nowMs);
    }
  }

  /** Asks for a list unless an answer is yet to come. */
  void poll(WorkerInstance instance, long nowMs) {
    if (instance.pollPending) {
      return;
    }
    instance.pollPending = true;
    instance.pollSentAtMs = nowMs;
    long waitMs = waitMs(instance, nowMs);
    // The lease of a worker that may be lost is left to end, so that its runs are over at a known
    // time.
    long overAtMs = bounds.latestEndMs(instance, nowMs);
    boolean renews =
        instance.lostPolls == 0
            && !instance.silent
            && !instance.hasUnknownRuns
            && instance.hasRuns()
            && overAtMs > instance.leaseOverAtMs();
    long deadlineMs = renews ? instance.grantLease(overAtMs, nowMs) : 0;
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

  /** Until a list shows what is there no run is ordered, so none waits for the first one. */
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

  /** A list that is asked for at that time shows that a stopped run is over. */
  private long msUntilStopsComplete(WorkerInstance instance, long nowMs) {
    return instance.runs().stream()
        .filter(run -> run.state == HostedRun.State.STOPPED)
        .mapToLong(run -> Math.max(0, run.stopSentAtMs + timing.killGraceMs() - nowMs))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Takes a worker's list of its runs, or that none came. */
  void pollCompleted(WorkerInstance instance, PollResult answer, long nowMs) {
    instance.pollPending = false;
    if (answer instanceof PollResult.Listed listed
        && listed.startedAtEpochMs() > instance.startedAtEpochMs()) {
      instanceRestarted(instance, listed, nowMs);
      return;
    }
    switch (answer) {
      // Another life, or whatever tells no birth, says nothing of this one.
      case PollResult.Listed listed when listed.startedAtEpochMs() != instance.startedAtEpochMs() ->
          recordLostPoll(instance, nowMs);
      case PollResult.Listed listed -> {
        boolean newEnds = processList(instance, listed, nowMs);
        boolean quick = !newEnds && nowMs - instance.pollSentAtMs < MIN_POLL_INTERVAL_MS;
        instance.nextPollAtMs = quick ? nowMs + MIN_POLL_INTERVAL_MS : nowMs;
      }
      case PollResult.Fenced fenced -> {
        instance.updateClock(fenced.workerClockMs(), nowMs);
        runController.raiseToken();
      }
      case PollResult.Unanswered unanswered -> recordLostPoll(instance, nowMs);
      case PollResult.OtherInstance gone -> {
        runController.endInstance(instance, "hold met another life", nowMs);
        return;
      }
      case PollResult.ConnectionRefused nobody -> {
        runController.recordRefusedConnection(instance, nowMs);
        instance.lostPolls++;
        instance.nextPollAtMs = nowMs + SILENT_RETRY_MS;
      }
    }
    if (nowMs >= instance.nextPollAtMs) {
      poll(instance, nowMs);
    }
  }

  /** Takes the list of a later life, which answered a call that was meant for an earlier one. */
  private void instanceRestarted(WorkerInstance former, PollResult.Listed listed, long nowMs) {
    WorkerInfo info = former.info().asRestarted(listed.startedAtEpochMs());
    WorkerInstance later = new WorkerInstance(info, timing, nowMs);
    runController.raiseToken();
    instances.add(later);
    runController.instanceRestarted(former, later, nowMs);
    poll(later, nowMs);
  }

  /** One lost call says nothing of the worker; to wait for the next would hide its ends. */
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
    instance.runs().forEach(run -> endIfGone(instance, run, listed));
    stopUnknownRuns(instance, listed);
    return newEnds;
  }

  private void stopUnknownRuns(WorkerInstance instance, PollResult.Listed listed) {
    List<RunRef> unknownRuns =
        listed.running().stream()
            .map(PollResult.Running::run)
            .filter(run -> instance.find(run).isEmpty())
            .toList();
    unknownRuns.forEach(run -> runController.stopUnknownRun(instance, run));
    instance.hasUnknownRuns = !unknownRuns.isEmpty();
  }

  private void recordProgress(WorkerInstance instance, PollResult.Listed listed, long nowMs) {
    for (PollResult.Running row : listed.running()) {
      instance
          .find(row.run())
          .filter(run -> run.state == HostedRun.State.RUNNING)
          .ifPresent(run -> instance.progress.recordProgress(run, row.percent(), nowMs));
    }
    if (instance.progress.judge(nowMs)) {
      outbox.logDecision("workerPace", "", instance.id(), "pace=" + instance.progress.pace(nowMs));
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
      recordUnknownEnd(instance, ended);
    }
  }

  /** An earlier life of this host ordered it, or it was taken for over before it was. */
  private void recordUnknownEnd(WorkerInstance instance, PollResult.Ended ended) {
    unknownEndCount++;
    String outcome = "run=%d end=%s".formatted(ended.run().number(), ended.end());
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
    boolean wasTight = instance.isTightFor(need);
    runController.endRun(instance, run, end, nowMs);
    if (wasTight) {
      roomAllocator.reserve(instance, need, nowMs);
    }
  }

  /**
   * A run that is not in a list is not there if nothing can start it any more: its stop was
   * answered before the list was asked for, or the deadlines of its orders had passed.
   */
  private void endIfGone(WorkerInstance instance, HostedRun run, PollResult.Listed listed) {
    boolean barred =
        switch (run.state) {
          case STOPPED -> instance.pollSentAtMs >= run.stopSentAtMs + timing.killGraceMs();
          case STOPPING -> instance.pollSentAtMs >= run.startCallsExpireAtMs;
          case ORDERED, RUNNING -> false;
        };
    if (barred && !listed.contains(run.run)) {
      runController.endRun(instance, run, RunEnd.STOPPED);
    }
  }

  /** A worker that is not heard any more has killed its runs once its lease is over. */
  void endRunsAfterLease(WorkerInstance instance, long nowMs) {
    if (!instance.silent || !instance.isLeaseOver(nowMs)) {
      return;
    }
    // An order of a former life of the worker may be carried out beyond the lease of this one.
    boolean allOver = instance.runs().stream().allMatch(run -> nowMs >= run.startCallsExpireAtMs);
    if (instance.refusesConnections && allOver) {
      runController.endInstance(instance, "connections refused until its lease was over", nowMs);
      return;
    }
    instance.runs().stream()
        .filter(run -> nowMs >= run.startCallsExpireAtMs)
        .forEach(run -> runController.endRun(instance, run, RunEnd.LOST));
  }
}
