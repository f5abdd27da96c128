package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import io.hingehoist.run.Rooms;
import io.hingehoist.run.RunTiming;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The state of a worker instance, that is, of a worker from its start to its end: its room, runs,
 * lease and clock. Not thread-safe: confined to the event-loop thread.
 */
final class WorkerInstance {
  private static final double MIN_CLOCK_RATE = 0.98;
  private static final long TRIAL_ROOM_DIVISOR = 5;

  final FailureBackoff failures = new FailureBackoff();
  final ProgressMonitor progress = new ProgressMonitor();
  final PaceEstimator pace = new PaceEstimator();
  final RoomReservations reservations = new RoomReservations();
  final AdaptiveTimeout callTimeout = new AdaptiveTimeout();
  private final RunTiming timing;
  private final Map<RunRef, HostedRun> runs = new LinkedHashMap<>();
  private WorkerInfo info;
  private Room used = Rooms.none();
  private long clockMs;
  private long clockReadAtMs;
  private long runsOverAtMs;

  /** The same, less the sleeps of this box that were suspected since the lease was granted. */
  private long runsOverAtEarliestMs;

  /** Whether the last start call may have been answered by an instance with another clock. */
  private boolean clockUncertain;

  long lastSeen;
  boolean silent;

  /** Whether connections to the worker are refused; it counts as silent then. */
  boolean refusesConnections;

  long refusesSinceMs;

  /**
   * Whether the worker may have runs that this host did not start; no room is assigned meanwhile.
   */
  boolean hasUnknownRuns = true;

  /** Whether this instance has responded to a poll with a list. */
  boolean polled;

  boolean pollPending;
  long pollSentAtMs;
  long nextPollAtMs;
  int lostPolls;

  WorkerInstance(WorkerInfo info, RunTiming timing, long nowMs) {
    this.info = info;
    this.timing = timing;
    this.clockMs = info.clockMs();
    this.clockReadAtMs = nowMs;
  }

  WorkerInfo info() {
    return info;
  }

  /** Returns the id of this instance, which owners also use in their orders. */
  String id() {
    return info.instanceId();
  }

  /** Returns when this instance started; 0 if workers don't report it. */
  long startedAtEpochMs() {
    return info.startedAtEpochMs();
  }

  /** Returns whether a later instance of the worker may have the same name and address. */
  boolean mayRestartUnderSameName() {
    return info.startedAtEpochMs() != 0;
  }

  /**
   * Returns whether a heartbeat can belong to this instance, whose service and address are fixed.
   */
  boolean hasSameEndpoint(WorkerInfo heartbeat) {
    return heartbeat.service().equals(info.service()) && heartbeat.address().equals(info.address());
  }

  /** Updates the state from a newer heartbeat; returns whether its draining flag changed. */
  boolean update(WorkerInfo newer) {
    if (newer.version() < info.version()) {
      return false;
    }
    boolean changed = newer.draining() != info.draining();
    // A worker that is leaving never becomes available again under the same id.
    boolean draining = newer.draining() || info.draining();
    info = draining ? newer.asDraining() : newer;
    return changed;
  }

  // The worker's clock and lease.

  void updateClock(long workerClockMs, long nowMs) {
    clockMs = Math.max(workerClockMs, minClockMs(nowMs));
    clockReadAtMs = nowMs;
  }

  /** Returns a time that the worker's clock has certainly reached. */
  private long minClockMs(long nowMs) {
    return clockMs + (long) ((nowMs - clockReadAtMs) * MIN_CLOCK_RATE);
  }

  /**
   * Checks the clock in a response to a start call. A clock that is behind the one of this instance
   * when the call was sent is that of a restarted instance: it took the deadline, which is far
   * ahead by its own clock, for the longest lease that it grants. That lease is assumed until a
   * list shows which instance it is.
   *
   * @return whether the clock is behind
   */
  boolean checkClock(long workerClockMs, long calledAtMs, long nowMs) {
    boolean behind = mayRestartUnderSameName() && workerClockMs < earliestClockMs(calledAtMs);
    if (behind) {
      clockUncertain = true;
      assumeLongestLease(nowMs);
    }
    return behind;
  }

  private long earliestClockMs(long atMs) {
    return atMs >= clockReadAtMs ? minClockMs(atMs) : clockMs - (clockReadAtMs - atMs);
  }

  /** Records that a list has shown that this instance still exists. */
  void confirmInstance() {
    clockUncertain = false;
  }

  /**
   * Renews the lease.
   *
   * @param overAtMs when all runs must be over unless the lease is renewed again
   * @return the deadline of a call sent now; that of the previous lease if it is certainly later,
   *     as a worker's lease never becomes shorter
   */
  long grantLease(long overAtMs, long nowMs) {
    runsOverAtMs = Math.max(runsOverAtMs, overAtMs);
    runsOverAtEarliestMs = Math.max(runsOverAtEarliestMs, overAtMs);
    if (clockUncertain) {
      assumeLongestLease(nowMs);
    }
    return minClockMs(nowMs) + timing.workerLeaseEndingWithinMs(runsOverAtEarliestMs - nowMs);
  }

  /**
   * Handles a possible sleep of this box. The clock of the recorded times did not count it, so the
   * lease that was granted and the times by which runs must be over are nearer than recorded.
   */
  void onSuspectedSleep(long sleptMs) {
    runsOverAtEarliestMs -= sleptMs;
    runs.values().forEach(run -> run.onSuspectedSleep(sleptMs));
  }

  /**
   * Extends the assumed lease to the longest one that a worker grants: calls for its former
   * instance carried deadlines of another clock.
   */
  void assumeLongestLease(long nowMs) {
    long overAtMs = nowMs + timing.longestWorkerRunsOverAfterMs();
    runsOverAtMs = Math.max(runsOverAtMs, overAtMs);
    runsOverAtEarliestMs = Math.max(runsOverAtEarliestMs, overAtMs);
  }

  boolean areRunsOver(long nowMs) {
    return nowMs >= runsOverAtMs;
  }

  /** Returns when all runs are over under the leases granted so far. */
  long runsOverAtMs() {
    return runsOverAtMs;
  }

  /** Returns when all runs may be over at the earliest: no suspected sleep is left out. */
  long runsOverAtEarliestMs() {
    return runsOverAtEarliestMs;
  }

  /** Returns the assumed state of this instance for the log. */
  String describeState(long nowMs) {
    long unanswered = runs.values().stream().filter(run -> run.unansweredStarts > 0).count();
    return "runs=%d withUnansweredStarts=%d leaseLeftMs=%d lostHolds=%d"
        .formatted(runs.size(), unanswered, Math.max(0, runsOverAtMs - nowMs), lostPolls);
  }

  // Runs and room.

  /** Returns the room that may be assigned; only a part of it while the worker is on trial. */
  Room free() {
    Room capacity = info.capacity();
    if (failures.isOnTrial() || progress.isOnTrial()) {
      capacity =
          new Room(
              capacity.cpuMilli() / TRIAL_ROOM_DIVISOR,
              capacity.memoryMb(),
              capacity.accelerators());
    }
    return Rooms.minus(capacity, used);
  }

  /**
   * Returns the room that a session may use: the free room without that reserved for others. For a
   * worker without runs reservations are ignored, as orders that take longer to arrive than a
   * reservation lasts would never find room.
   */
  Room freeFor(long sessionId, long nowMs) {
    if (!hasRuns()) {
      return free();
    }
    return Rooms.minus(free(), reservations.reservedForOthers(sessionId, nowMs));
  }

  /** Returns whether the worker has little room left, or too little for a run with a need. */
  boolean isNearlyFullFor(Room need) {
    Room free = free();
    return Rooms.isNearlyFull(free, info.capacity()) || !Rooms.fits(need, free);
  }

  /** Records a run that succeeded. */
  void recordSuccess(HostedRun run, long nowMs) {
    progress.recordSuccess(run, nowMs);
    if (progress.rate(nowMs) == ProgressMonitor.Rate.USUAL && !progress.isOnTrial()) {
      pace.recordSuccess(nowMs - run.orderedAtMs, run.estimateMs);
    }
  }

  void add(HostedRun run) {
    runs.put(run.run, run);
    used = Rooms.plus(used, run.need);
  }

  Optional<HostedRun> find(RunRef run) {
    return Optional.ofNullable(runs.get(run));
  }

  /** Returns whether there is a run of a task, whatever its number. */
  boolean hasTask(String task) {
    return runs.keySet().stream().anyMatch(run -> run.task().equals(task));
  }

  void remove(HostedRun run) {
    progress.remove(run);
    if (runs.remove(run.run) != null) {
      used = Rooms.minus(used, run.need);
    }
  }

  Collection<HostedRun> runs() {
    return List.copyOf(runs.values());
  }

  boolean hasRuns() {
    return !runs.isEmpty();
  }

  WorkerRow toRow(Room free, boolean hostRefusesStarts, long nowMs) {
    return new WorkerRow(
        id(),
        info.service(),
        info.zone(),
        info.labels(),
        info.capacity(),
        free,
        state(hostRefusesStarts, nowMs),
        pace.percent());
  }

  WorkerState state(boolean hostRefusesStarts, long nowMs) {
    if (hostRefusesStarts || info.draining()) {
      return WorkerState.DRAINING;
    }
    if (silent || hasUnknownRuns) {
      return WorkerState.SILENT;
    }
    if (failures.isFailing(nowMs)) {
      return WorkerState.FAILING;
    }
    return switch (progress.rate(nowMs)) {
      case USUAL -> WorkerState.READY;
      case SLOW -> WorkerState.SLOW;
      case STALLED -> WorkerState.STALLED;
    };
  }
}
