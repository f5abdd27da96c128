package io.hingehoist.run.host;

import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.run.EvacuatedZonesView;
import io.hingehoist.run.RunTiming;
import java.util.List;

/**
 * Makes the decisions of a host: whether a run fits its worker, how long the leases of workers and
 * owners last, and when a run is provably over.
 *
 * <p>This class receives the events and delegates them: {@link InstanceRegistry} (which workers
 * exist), {@link RunController} (starts and stops), {@link WorkerPoller} (running and ended runs),
 * {@link OwnerSessionManager} (sessions of owners and the rows sent to them), {@link
 * FreedRoomAllocator} (which owner gets freed room).
 *
 * <p>A run occupies room at its worker from its start order until its end is known, so the capacity
 * is never exceeded. Times are milliseconds of a monotonic clock. Call a method for each event,
 * then {@link #publishWorkers}, then carry out {@link #drainEffects} in order. Not thread-safe:
 * confined to the event-loop thread.
 */
public final class WorkerHost {
  private final WorkerInstances instances = new WorkerInstances();
  private final OwnerSessions sessions = new OwnerSessions();
  private final HostOutbox outbox = new HostOutbox(sessions);
  private final StartGuard startGuard;
  private final RunController runController;
  private final WorkerPoller poller;
  private final InstanceRegistry registry;
  private final OwnerSessionManager sessionManager;

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
    this.sessionManager =
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
   * Creates a host without workers.
   *
   * @param token the first fencing token; above those of former incarnations, as far as known
   */
  public static WorkerHost create(
      String hostId, long incarnation, String zone, RunTiming timing, long token, long nowMs) {
    return new WorkerHost(hostId, incarnation, zone, timing, token, nowMs);
  }

  /** Returns and removes the effects added since the last call, in order. */
  public List<HostEffect> drainEffects() {
    return outbox.drain();
  }

  // Workers.

  /** Handles a heartbeat of a worker. */
  public void workerHeartbeat(WorkerInfo info, long nowMs) {
    registry.heartbeat(info, nowMs);
  }

  /** Marks a worker as leaving. Its runs are over once it stops responding. */
  public void workerLeaves(String workerId) {
    registry.workerLeaves(workerId);
  }

  /** Handles the result of a start call. */
  public void startCallCompleted(String instanceId, RunRef run, StartResult result, long nowMs) {
    instances
        .find(instanceId)
        .ifPresent(
            instance ->
                instance
                    .find(run)
                    .ifPresent(
                        found -> runController.startCallCompleted(instance, found, result, nowMs)));
  }

  /**
   * Handles the result of a stop call.
   *
   * @param confirmed whether the worker confirmed the stop
   */
  public void stopCallCompleted(String instanceId, RunRef run, boolean confirmed, long nowMs) {
    instances
        .find(instanceId)
        .ifPresent(
            instance ->
                instance
                    .find(run)
                    .ifPresent(
                        found ->
                            runController.stopCallCompleted(instance, found, confirmed, nowMs)));
  }

  /** Handles the result of a poll. */
  public void pollCallCompleted(String instanceId, PollResult result, long nowMs) {
    if (!registry.completeVerification(instanceId, result, nowMs)) {
      instances
          .find(instanceId)
          .ifPresent(instance -> poller.pollCompleted(instance, result, nowMs));
    }
  }

  // Owners.

  /**
   * Opens a session of an owner. The owner is notified when all runs of its former sessions are
   * over.
   */
  public void sessionOpened(long sessionId, String ownerId, long nowMs) {
    sessionManager.open(sessionId, ownerId, nowMs);
  }

  /**
   * Renews an owner's lease and responds with the worker rows unless they were sent recently.
   *
   * @param follows whether the owner receives changes as they occur
   */
  public void ownerHeartbeat(long sessionId, long sentAtMs, boolean follows, long nowMs) {
    sessions
        .find(sessionId)
        .ifPresent(session -> sessionManager.heartbeat(session, sentAtMs, follows, nowMs));
  }

  /** Updates the tasks that wait for room at an owner. */
  public void updateWaitingTasks(long sessionId, OwnerWaiting report, long nowMs) {
    sessions
        .find(sessionId)
        .ifPresent(session -> sessionManager.updateWaitingTasks(session, report, nowMs));
  }

  /** Handles a session that continues on a new connection. */
  public void sessionResumed(long sessionId, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> sessionManager.resume(session, nowMs));
  }

  /** Ends a session that can't be resumed and stops its runs. */
  public void sessionEnded(long sessionId, String reason, long nowMs) {
    sessionManager.end(sessionId, reason, nowMs);
  }

  /** Starts the runs of an order that are allowed to start, and refuses the others. */
  public void startRuns(long sessionId, StartRuns order, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> runController.start(session, order, nowMs));
  }

  /** Stops a run at its owner's request. A run that is not known here is reported as over. */
  public void stopRun(long sessionId, RunRef run, long nowMs) {
    runController.stop(sessionId, run, nowMs);
  }

  /** Returns whether an open session has runs that are not over. */
  public boolean hasRuns(long sessionId) {
    return sessions.find(sessionId).filter(session -> session.runCount > 0).isPresent();
  }

  // Zones.

  /**
   * Updates the evacuated availability zones. In an evacuated zone a host refuses all starts, as
   * owners may not know of the evacuation yet. Runs in progress continue: they end within seconds,
   * and stopping them would waste their work.
   *
   * @param source the process that sent the update
   * @return whether the update was new and is to be forwarded to every owner
   */
  public boolean evacuatedZonesReceived(EvacuatedZones update, String source, long nowMs) {
    if (!startGuard.update(update, nowMs)) {
      return false;
    }
    String outcome =
        "version=%d evacuated=%s startsHere=%s runs=%d"
            .formatted(update.version(), update.zones(), startGuard.zoneAllowsStarts(), runCount());
    outbox.logDecision("zonesInForce", "", source, outcome);
    return true;
  }

  /** Returns the known state of the evacuated availability zones. */
  public EvacuatedZonesView zones() {
    return startGuard.zones();
  }

  /** Returns the number of runs refused because the zone is evacuated or its state is unknown. */
  public long refusedForZoneCount() {
    return startGuard.refusedForZoneCount();
  }

  // Sleep of the box.

  /**
   * Handles a possible sleep of this box: no owner's lease counts until the owner answers a probe.
   */
  public void mayHaveSlept(long sleptMs, long nowMs) {
    sessionManager.mayHaveSlept(sleptMs, nowMs);
  }

  /** Handles an owner's proof that its session still exists. */
  public void proofReceived(long sessionId, long number, long sentAtMs, long nowMs) {
    sessions
        .find(sessionId)
        .ifPresent(session -> sessionManager.proofReceived(session, number, sentAtMs, nowMs));
  }

  /** Answers an owner's probe with a proof that its session still exists. */
  public void probeReceived(long sessionId, long number, long nowMs) {
    sessions
        .find(sessionId)
        .ifPresent(session -> sessionManager.probeReceived(session, number, nowMs));
  }

  // Time and rows.

  /** Performs the actions that are due at the current time. */
  public void onTick(long nowMs) {
    sessionManager.closeExpired(nowMs);
    runController.releaseDueReports(nowMs);
    for (WorkerInstance instance : instances.all()) {
      poller.endRunsAfterLease(instance, nowMs);
      runController.repeatStops(instance, nowMs);
      poller.pollIfDue(instance, nowMs);
    }
    sessionManager.notifyFormerRunsOver(nowMs);
  }

  /** Sends the worker rows to the owners for which they have changed. */
  public void publishWorkers(long nowMs) {
    sessionManager.publishWorkers(nowMs);
  }

  /** Stops accepting runs. Runs in progress continue to their ends. */
  public void stopAcceptingRuns() {
    startGuard.stopAcceptingRuns();
  }

  /** Returns whether there are no runs. */
  public boolean isIdle() {
    return instances.isIdle();
  }

  /** Returns the number of runs that are not over. */
  public int runCount() {
    return instances.runCount();
  }

  /** Returns the number of start calls without a response. */
  public long unansweredStartCount() {
    return runController.unansweredStartCount();
  }

  /** Returns the number of ends listed by workers for runs that this host does not know. */
  public long unknownEndCount() {
    return poller.unknownEndCount();
  }

  /** Returns the number of workers. */
  public int workerCount() {
    return instances.size();
  }
}
