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
 * One life of a worker: its room, its runs, its lease and its clock. Owned by {@link WorkerHost}.
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
  private long leaseOverAtMs;
  long lastSeen;
  boolean silent;

  /** Whether connections to it are refused, and since when; it is silent then. */
  boolean refusesConnections;

  long refusesSinceMs;

  /** Whether runs may be there that this host did not order: no room is given out meanwhile. */
  boolean hasUnknownRuns = true;

  /** Whether a list of this life has come. */
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

  /** Returns the name of this life, by which owners order runs as well. */
  String id() {
    return info.instanceId();
  }

  /** Returns when this life began; 0 where workers don't tell. */
  long startedAtEpochMs() {
    return info.startedAtEpochMs();
  }

  /** Returns whether an account may be of this life, which keeps its service and its address. */
  boolean hasSameEndpoint(WorkerInfo heartbeat) {
    return heartbeat.service().equals(info.service()) && heartbeat.address().equals(info.address());
  }

  /** Takes a newer account; returns whether it shows something else. */
  boolean update(WorkerInfo newer) {
    if (newer.version() < info.version()) {
      return false;
    }
    boolean changed = newer.draining() != info.draining();
    // A worker that is leaving does not come back under the same name.
    boolean draining = newer.draining() || info.draining();
    info = draining ? newer.asDraining() : newer;
    return changed;
  }

  // The worker's clock and lease.

  void updateClock(long workerClockMs, long nowMs) {
    clockMs = Math.max(workerClockMs, minClockMs(nowMs));
    clockReadAtMs = nowMs;
  }

  /** Returns a time that the worker's clock has reached for sure. */
  private long minClockMs(long nowMs) {
    return clockMs + (long) ((nowMs - clockReadAtMs) * MIN_CLOCK_RATE);
  }

  /**
   * Renews the lease.
   *
   * @param overAtMs when everything is to be over unless it is renewed again
   * @return the deadline of a call that is sent now; the lease that was granted last if that is
   *     longer, as a worker's lease never becomes shorter
   */
  long grantLease(long overAtMs, long nowMs) {
    leaseOverAtMs = Math.max(leaseOverAtMs, overAtMs);
    return minClockMs(nowMs) + timing.workerLeaseEndingWithinMs(leaseOverAtMs - nowMs);
  }

  boolean isLeaseOver(long nowMs) {
    return nowMs >= leaseOverAtMs;
  }

  /** Returns when the lease that was granted last is over. */
  long leaseOverAtMs() {
    return leaseOverAtMs;
  }

  /** Returns, for the log, what is believed of this life. */
  String describeState(long nowMs) {
    long unanswered = runs.values().stream().filter(run -> run.unansweredStarts > 0).count();
    return "runs=%d withUnansweredStarts=%d leaseLeftMs=%d lostHolds=%d"
        .formatted(runs.size(), unanswered, Math.max(0, leaseOverAtMs - nowMs), lostPolls);
  }

  // Runs and room.

  /** Returns the room that may be given out: a part of it while the worker is on trial. */
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
   * Returns the room that a connection may use: all that is free but what is kept for others. A
   * worker that runs nothing keeps none: orders that take longer than an offer would never find
   * any.
   */
  Room freeFor(long sessionId, long nowMs) {
    if (!hasRuns()) {
      return free();
    }
    return Rooms.minus(free(), reservations.reservedForOthers(sessionId, nowMs));
  }

  /** Returns whether there is hardly room for a run with such a need. */
  boolean isTightFor(Room need) {
    Room free = free();
    return Rooms.isNearlyFull(free, info.capacity()) || !Rooms.fits(need, free);
  }

  /** Notes a run that ended well. */
  void recordSuccess(HostedRun run, long nowMs) {
    progress.recordSuccess(run, nowMs);
    if (progress.pace(nowMs) == ProgressMonitor.Pace.USUAL && !progress.isOnTrial()) {
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

  /** Returns whether a run of a task is here, whatever its number. */
  boolean hasTask(String task) {
    return runs.keySet().stream().anyMatch(run -> run.task().equals(task));
  }

  void remove(HostedRun run) {
    progress.forget(run);
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
    return switch (progress.pace(nowMs)) {
      case USUAL -> WorkerState.READY;
      case SLOW -> WorkerState.SLOW;
      case STALLED -> WorkerState.STALLED;
    };
  }
}
