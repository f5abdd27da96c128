package io.hingehoist.run.host;

import io.hingehoist.message.Message;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.run.RunTiming;
import java.util.ArrayList;
import java.util.List;

/** A host whose events a test plays, with what it asked for after the last of them. */
final class HostFixture {
  static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  static final long SESSION = 7;

  private static final Room NEED = new Room(1_000, 10, 0);

  final WorkerHost host;
  private final List<HostEffect> effects = new ArrayList<>();
  private long order;

  private HostFixture(WorkerHost host) {
    this.host = host;
  }

  /** Returns a host that started long ago, at a time; no zone is evacuated. */
  static HostFixture startedBefore(long nowMs) {
    long startedAtMs = nowMs - TIMING.workerRunsOverAfterMs();
    return new HostFixture(
        ZoneFixtures.noneEvacuated(WorkerHost.create("h", 1, "z", TIMING, 100, startedAtMs)));
  }

  /** Returns an account of a worker that is ready and tells no birth. */
  static WorkerInfo worker(String id, Room capacity, long version) {
    return new WorkerInfo(id, "s", "10.0.0.1:1", "z", false, capacity, List.of(), version, 500);
  }

  /** Takes up what the host asked for since the last time. */
  void collectEffects(long nowMs) {
    host.publishWorkers(nowMs);
    effects.clear();
    effects.addAll(host.drainEffects());
  }

  /** Has the owner of a session order a run. */
  void order(long session, String worker, long nowMs, RunRef run) {
    StartRuns message = new StartRuns(++order, worker, "j", "", 100, NEED, List.of(run));
    host.startRuns(session, message, nowMs);
    collectEffects(nowMs);
  }

  /** Has the owner of a session order a run, and its worker say that it runs. */
  void start(long session, String worker, long nowMs, RunRef run) {
    order(session, worker, nowMs, run);
    host.startCallCompleted(worker, run, new StartResult.Started(501), nowMs);
  }

  /** Answers the call for a worker's list. */
  void answerPoll(String worker, long nowMs, List<RunRef> running, PollResult.Ended... ended) {
    host.pollCallCompleted(worker, PollResults.listed(nowMs, running, ended), nowMs);
    collectEffects(nowMs);
  }

  <E extends HostEffect> List<E> all(Class<E> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  <M extends Message> List<M> sent(Class<M> type) {
    return sent(SESSION, type);
  }

  <M extends Message> List<M> sent(long session, Class<M> type) {
    return all(HostEffect.SendToOwner.class).stream()
        .filter(to -> to.sessionId() == session)
        .map(HostEffect.SendToOwner::message)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }
}
