package io.hingehoist.run;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.run.host.PollResult;
import io.hingehoist.run.host.StartResult;
import io.hingehoist.run.host.WorkerInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An in-memory worker that implements the platform's protocol: leases by its own, slow clock,
 * fencing tokens, invalidated run numbers and numbered ends. It starts every run that it receives a
 * start call for, whether or not it has room.
 */
final class FakeWorker {
  static final Room CAPACITY = new Room(8_000, 8_000, 0);
  private static final long MAX_LEASE_MS = 1_000;
  private static final double CLOCK_RATE = 0.98;

  static final class Run {
    final RunRef ref;
    final Room need;
    final long endsAtMs;
    final boolean fails;

    /** Returns the progress, as if each run took 100 ms; start times are not recorded. */
    private int percentDone(long nowMs) {
      return Math.clamp(100 - (endsAtMs - nowMs), 0, 100);
    }

    Run(RunRef ref, Room need, long endsAtMs, boolean fails) {
      this.ref = ref;
      this.need = need;
      this.endsAtMs = endsAtMs;
      this.fails = fails;
    }
  }

  final String id;
  final String address;
  final Map<RunRef, Run> runs = new LinkedHashMap<>();
  private final Map<String, Long> highestInvalidNumbers = new HashMap<>();
  private final List<PollResult.Ended> ended = new ArrayList<>();
  private final long startedAtEpochMs;
  private final long clockOffsetMs;
  private long token;
  private long leaseDeadlineMs;
  private long lastEndNumber;
  boolean up = true;
  boolean failsAll;

  private FakeWorker(String id, String address, long startedAtEpochMs, long clockOffsetMs) {
    this.id = id;
    this.address = address;
    this.startedAtEpochMs = startedAtEpochMs;
    this.clockOffsetMs = clockOffsetMs;
  }

  /** Creates a worker that does not report its start time; a restarted one needs another id. */
  static FakeWorker create(String id, String address) {
    return new FakeWorker(id, address, 0, 500_000);
  }

  /** Creates an instance that reports its start time, and whose clock starts at 0. */
  static FakeWorker createInstance(String id, String address, long nowMs) {
    return new FakeWorker(id, address, nowMs, (long) (-nowMs * CLOCK_RATE));
  }

  long clockMs(long nowMs) {
    return clockOffsetMs + (long) (nowMs * CLOCK_RATE);
  }

  WorkerInfo info(boolean draining, long version, long nowMs) {
    return new WorkerInfo(
        id,
        "s",
        address,
        "z",
        draining,
        CAPACITY,
        List.of("a"),
        version,
        clockMs(nowMs),
        startedAtEpochMs);
  }

  StartResult start(
      RunRef ref, Room need, long runMs, long callDeadlineMs, long callToken, long nowMs) {
    tick(nowMs);
    if (callToken < token) {
      return new StartResult.Fenced(clockMs(nowMs));
    }
    token = callToken;
    if (runs.containsKey(ref)) {
      return new StartResult.Started(clockMs(nowMs));
    }
    extendLease(callDeadlineMs, nowMs);
    if (ref.number() <= highestInvalidNumbers.getOrDefault(ref.task(), 0L)) {
      return new StartResult.Refused(RunRefusal.OLD_NUMBER);
    }
    if (callDeadlineMs <= clockMs(nowMs)) {
      return new StartResult.Late(clockMs(nowMs));
    }
    runs.put(ref, new Run(ref, need, nowMs + runMs, failsAll));
    return new StartResult.Started(clockMs(nowMs));
  }

  void stop(RunRef ref, long callToken, long nowMs) {
    tick(nowMs);
    if (callToken < token) {
      return;
    }
    token = callToken;
    highestInvalidNumbers.merge(ref.task(), ref.number(), Math::max);
    if (runs.containsKey(ref)) {
      end(ref, RunEnd.STOPPED);
    }
  }

  PollResult poll(long callDeadlineMs, long callToken, long lastSeen, long nowMs) {
    tick(nowMs);
    if (callToken < token) {
      return new PollResult.Fenced(clockMs(nowMs));
    }
    token = callToken;
    extendLease(callDeadlineMs, nowMs);
    ended.removeIf(end -> end.number() <= lastSeen);
    List<PollResult.Running> running =
        runs.values().stream()
            .map(run -> new PollResult.Running(run.ref, run.percentDone(nowMs)))
            .toList();
    return new PollResult.Listed(clockMs(nowMs), startedAtEpochMs, running, List.copyOf(ended));
  }

  private void extendLease(long callDeadlineMs, long nowMs) {
    leaseDeadlineMs =
        Math.max(leaseDeadlineMs, Math.min(callDeadlineMs, clockMs(nowMs) + MAX_LEASE_MS));
  }

  private void end(RunRef ref, RunEnd reason) {
    runs.remove(ref);
    highestInvalidNumbers.merge(ref.task(), ref.number(), Math::max);
    ended.add(new PollResult.Ended(++lastEndNumber, ref, reason));
  }

  void tick(long nowMs) {
    for (Run run : List.copyOf(runs.values())) {
      if (clockMs(nowMs) >= leaseDeadlineMs) {
        end(run.ref, RunEnd.LAPSED);
      } else if (nowMs >= run.endsAtMs) {
        end(run.ref, run.fails ? RunEnd.FAILED : RunEnd.DONE);
      }
    }
  }

  boolean hasNewEnds(long lastSeen) {
    return ended.stream().anyMatch(end -> end.number() > lastSeen);
  }

  Room used() {
    return runs.values().stream().map(run -> run.need).reduce(Rooms.none(), Rooms::plus);
  }

  void crash() {
    up = false;
    runs.clear();
  }
}
