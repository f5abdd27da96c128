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
 * A worker as the platform describes it, played in memory: it keeps leases by its own slow clock,
 * tokens, barred numbers and numbered ends, and starts whatever it is told, with or without room.
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

    /** Returns how much is done; runs begin at a moment that nobody asks for, and take 100 ms. */
    private int percent(long nowMs) {
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
  private final Map<String, Long> barred = new HashMap<>();
  private final List<PollResult.Ended> ended = new ArrayList<>();
  private long token;
  private long deadlineMs;
  private long endNumber;
  boolean up = true;
  boolean failsAll;

  FakeWorker(String id, String address) {
    this.id = id;
    this.address = address;
  }

  long clockMs(long nowMs) {
    return 500_000 + (long) (nowMs * CLOCK_RATE);
  }

  WorkerInfo info(boolean draining, long version, long nowMs) {
    return new WorkerInfo(
        id, "s", address, "z", draining, CAPACITY, List.of("a"), version, clockMs(nowMs));
  }

  StartResult start(RunRef ref, Room need, long runMs, long deadline, long callToken, long nowMs) {
    tick(nowMs);
    if (callToken < token) {
      return new StartResult.Fenced(clockMs(nowMs));
    }
    token = callToken;
    if (runs.containsKey(ref)) {
      return new StartResult.Started(clockMs(nowMs));
    }
    extend(deadline, nowMs);
    if (ref.number() <= barred.getOrDefault(ref.task(), 0L)) {
      return new StartResult.Refused(RunRefusal.OLD_NUMBER);
    }
    if (deadline <= clockMs(nowMs)) {
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
    barred.merge(ref.task(), ref.number(), Math::max);
    if (runs.containsKey(ref)) {
      end(ref, RunEnd.STOPPED);
    }
  }

  PollResult hold(long deadline, long callToken, long lastSeen, long nowMs) {
    tick(nowMs);
    if (callToken < token) {
      return new PollResult.Fenced(clockMs(nowMs));
    }
    token = callToken;
    extend(deadline, nowMs);
    ended.removeIf(end -> end.number() <= lastSeen);
    List<PollResult.Running> running =
        runs.values().stream()
            .map(run -> new PollResult.Running(run.ref, run.percent(nowMs)))
            .toList();
    return new PollResult.Listed(clockMs(nowMs), running, List.copyOf(ended));
  }

  private void extend(long deadline, long nowMs) {
    deadlineMs = Math.max(deadlineMs, Math.min(deadline, clockMs(nowMs) + MAX_LEASE_MS));
  }

  private void end(RunRef ref, RunEnd how) {
    runs.remove(ref);
    barred.merge(ref.task(), ref.number(), Math::max);
    ended.add(new PollResult.Ended(++endNumber, ref, how));
  }

  void tick(long nowMs) {
    for (Run run : List.copyOf(runs.values())) {
      if (clockMs(nowMs) >= deadlineMs) {
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
