package io.hingehoist.run.host;

import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.run.EvacuatedZonesView;
import io.hingehoist.run.RunTiming;
import java.util.List;

/**
 * The decisions of a host: whether a run fits its worker, how long workers and owners may go on,
 * and when a run is provably over.
 *
 * <p>This class takes the events and hands each to the part that decides: {@link InstanceRegistry}
 * (which workers there are), {@link RunController} (starts and stops), {@link WorkerPoller} (what
 * runs and has ended), {@link OwnerSessionManager} (sessions of owners and what they see), {@link
 * FreedRoomAllocator} (who gets freed room).
 *
 * <p>The room of a worker is charged from the order of a run until its end is known, so it is never
 * exceeded. Times are milliseconds of a clock that never goes back. Call a method for each event,
 * then {@link #publishWorkers}, then carry out {@link #drainEffects} in order. Not thread-safe: one
 * thread owns it.
 */
public final class WorkerHost {
  private final WorkerInstances instances = new WorkerInstances();
  private final OwnerSessions sessions = new OwnerSessions();
  private final HostOutbox outbox = new HostOutbox(sessions);
  private final StartGuard startGuard;
  private final RunController runController;
  private final WorkerPoller poller;
  private final InstanceRegistry registry;
  private final OwnerSessionManager owners;

  private WorkerHost(
      String hostId, long incarnation, String zone, RunTiming timing, long firstToken, long nowMs) {
    FencingToken token = new FencingToken(firstToken);
    FreedRoomAllocator roomAllocator = new FreedRoomAllocator(sessions);
    this.startGuard = new StartGuard(zone);
    LeaseBounds bounds = new LeaseBounds(timing, sessions);
    this.runController =
        new RunController(hostId, instances, sessions, startGuard, token, bounds, outbox);
    this.poller =
        new WorkerPoller(timing, instances, token, bounds, runController, roomAllocator, outbox);
    this.registry = new InstanceRegistry(timing, instances, runController, poller, outbox);
    this.owners =
        new OwnerSessionManager(
            hostId,
            incarnation,
            timing,
            instances,
            sessions,
            startGuard,
            bounds,
            runController,
            roomAllocator,
            outbox,
            nowMs);
  }

  /**
   * Creates a host that knows no worker yet.
   *
   * @param token a number above those that earlier lives of this host used, as far as is known
   */
  public static WorkerHost create(
      String hostId, long incarnation, String zone, RunTiming timing, long token, long nowMs) {
    return new WorkerHost(hostId, incarnation, zone, timing, token, nowMs);
  }

  /** Returns what is to be done since the last call, in order. */
  public List<HostEffect> drainEffects() {
    return outbox.drain();
  }

  // Workers.

  /** Takes a worker's account of itself. */
  public void workerHeartbeat(WorkerInfo info, long nowMs) {
    registry.heartbeat(info, nowMs);
  }

  /** Notes that a worker takes its leave; what runs there is over when it stops answering. */
  public void workerLeaves(String workerId) {
    registry.leaves(workerId);
  }

  /** Takes what became of a start. */
  public void startCallCompleted(String instanceId, RunRef run, StartResult answer, long nowMs) {
    instances
        .find(instanceId)
        .ifPresent(
            instance ->
                instance
                    .find(run)
                    .ifPresent(
                        found -> runController.startCallCompleted(instance, found, answer, nowMs)));
  }

  /**
   * Takes what became of a stop.
   *
   * @param answered whether the worker said that it was carried out
   */
  public void stopCallCompleted(String instanceId, RunRef run, boolean answered, long nowMs) {
    instances
        .find(instanceId)
        .ifPresent(
            instance ->
                instance
                    .find(run)
                    .ifPresent(
                        found ->
                            runController.stopCallCompleted(instance, found, answered, nowMs)));
  }

  /** Takes a worker's list of its runs. */
  public void pollCallCompleted(String instanceId, PollResult answer, long nowMs) {
    if (!registry.verificationCompleted(instanceId, answer, nowMs)) {
      instances
          .find(instanceId)
          .ifPresent(instance -> poller.pollCompleted(instance, answer, nowMs));
    }
  }

  // Owners.

  /** Notes a session of an owner, and tells it when every run of its earlier ones is over. */
  public void sessionOpened(long sessionId, String ownerId, long nowMs) {
    owners.open(sessionId, ownerId, nowMs);
  }

  /**
   * Renews an owner's lease, and answers with the workers unless they were shown a moment ago.
   *
   * @param follows whether the owner is to be shown changes as they come
   */
  public void ownerHeartbeat(long sessionId, long sentAtMs, boolean follows, long nowMs) {
    sessions
        .find(sessionId)
        .ifPresent(session -> owners.heartbeat(session, sentAtMs, follows, nowMs));
  }

  /** Takes an owner's word of what waits there for room. */
  public void updateWaitingTasks(long sessionId, OwnerWaiting news, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> owners.updateWaitingTasks(session, news, nowMs));
  }

  /** Notes that a session goes on on a new connection. */
  public void sessionResumed(long sessionId, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> owners.resume(session, nowMs));
  }

  /** Notes that a session is over and can't go on; the owner's runs are stopped. */
  public void sessionEnded(long sessionId, String reason, long nowMs) {
    owners.end(sessionId, reason, nowMs);
  }

  /** Starts the runs of an order, as far as they may start. */
  public void startRuns(long sessionId, StartRuns order, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> runController.start(session, order, nowMs));
  }

  /** Stops a run on its owner's word. One that is not here is over. */
  public void stopRun(long sessionId, RunRef run, long nowMs) {
    runController.stop(sessionId, run, nowMs);
  }

  /** Returns whether runs of an open session are not over. */
  public boolean hasRuns(long sessionId) {
    return sessions.find(sessionId).filter(session -> session.runCount > 0).isPresent();
  }

  // Zones.

  /**
   * Takes word of the evacuated availability zones. In one of them a host starts nothing, whoever
   * asks: an owner may not have heard of it. What runs goes on to its end: it ends within seconds,
   * and to stop it would throw its work away.
   *
   * @param source who told it
   * @return whether it is news, which is to be passed on to every owner
   */
  public boolean evacuatedZonesReceived(EvacuatedZones heard, String source, long nowMs) {
    if (!startGuard.update(heard, nowMs)) {
      return false;
    }
    String outcome =
        "version=%d evacuated=%s startsHere=%s runs=%d"
            .formatted(heard.version(), heard.zones(), startGuard.zoneAllowsStarts(), runCount());
    outbox.logDecision("zonesInForce", "", source, outcome);
    return true;
  }

  /** Returns what is known of the evacuated availability zones. */
  public EvacuatedZonesView zones() {
    return startGuard.zones();
  }

  /** Returns the number of runs that were refused as the zone is evacuated, or not known not to. */
  public long refusedForZoneCount() {
    return startGuard.refusedForZoneCount();
  }

  // Sleep.

  /** Notes that this box may have slept: no lease of an owner is believed until it answers. */
  public void mayHaveSlept(long sleptMs, long nowMs) {
    owners.markAllUnverified(sleptMs, nowMs);
  }

  /** Takes an owner's proof that a session goes on. */
  public void sessionProven(long sessionId, long number, long sentAtMs, long nowMs) {
    sessions
        .find(sessionId)
        .ifPresent(session -> owners.proofReceived(session, number, sentAtMs, nowMs));
  }

  /** Proves to an owner that its session goes on, if it does. */
  public void sessionProbed(long sessionId, long number, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> owners.probeReceived(session, number, nowMs));
  }

  // Time and rows.

  /** Does what the time has made due. */
  public void onTick(long nowMs) {
    owners.closeExpired(nowMs);
    for (WorkerInstance instance : instances.all()) {
      poller.endRunsAfterLease(instance, nowMs);
      runController.repeatStops(instance, nowMs);
      poller.pollIfDue(instance, nowMs);
    }
    owners.notifyFormerRunsOver(nowMs);
  }

  /** Shows the workers to owners, as far as something has changed for them. */
  public void publishWorkers(long nowMs) {
    owners.publishWorkers(nowMs);
  }

  /** Takes no further runs; those that are here go on to their ends. */
  public void stopAcceptingRuns() {
    startGuard.stopAcceptingRuns();
  }

  /** Returns whether nothing runs here. */
  public boolean isIdle() {
    return instances.isIdle();
  }

  /** Returns the number of runs that are not over. */
  public int runCount() {
    return instances.runCount();
  }

  /** Returns the number of start calls that had no answer. */
  public long unansweredStartCount() {
    return runController.unansweredStartCount();
  }

  /** Returns the number of ends that workers listed of runs that were not known here. */
  public long unknownEndCount() {
    return poller.unknownEndCount();
  }

  /** Returns the number of workers. */
  public int workerCount() {
    return instances.size();
  }
}
