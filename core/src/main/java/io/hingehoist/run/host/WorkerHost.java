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
 * <p>This class takes the events and hands each to the part that decides: {@link WorkerRegister}
 * (which workers there are), {@link RunOrders} (starts and stops), {@link WorkerLists} (what runs
 * and has ended), {@link OwnerDesk} (sessions of owners and what they see), {@link RoomSharing}
 * (who gets freed room).
 *
 * <p>The room of a worker is charged from the order of a run until its end is known, so it is never
 * exceeded. Times are milliseconds of a clock that never goes back. Call a method for each event,
 * then {@link #showRows}, then carry out {@link #takeEffects} in order. Not thread-safe: one thread
 * owns it.
 */
public final class WorkerHost {
  private final WorkerLives lives = new WorkerLives();
  private final OwnerSessions sessions = new OwnerSessions();
  private final HostOutbox outbox = new HostOutbox(sessions);
  private final StartGate gate;
  private final RunOrders orders;
  private final WorkerLists lists;
  private final WorkerRegister register;
  private final OwnerDesk owners;

  private WorkerHost(
      String hostId, long incarnation, String zone, RunTiming timing, long firstToken, long nowMs) {
    FencingToken token = new FencingToken(firstToken);
    RoomSharing sharing = new RoomSharing(sessions);
    this.gate = new StartGate(zone);
    LeaseBounds bounds = new LeaseBounds(timing, sessions);
    this.orders = new RunOrders(hostId, lives, sessions, gate, token, bounds, outbox);
    this.lists = new WorkerLists(timing, lives, token, bounds, orders, sharing, outbox);
    this.register = new WorkerRegister(timing, lives, orders, lists, outbox);
    this.owners =
        new OwnerDesk(
            hostId,
            incarnation,
            timing,
            lives,
            sessions,
            gate,
            bounds,
            orders,
            sharing,
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
  public List<HostEffect> takeEffects() {
    return outbox.take();
  }

  // Workers.

  /** Takes a worker's account of itself. */
  public void workerSeen(WorkerInfo info, long nowMs) {
    register.seen(info, nowMs);
  }

  /** Notes that a worker takes its leave; what runs there is over when it stops answering. */
  public void workerLeaves(String workerId) {
    register.leaves(workerId);
  }

  /** Takes what became of a start. */
  public void startAnswered(String lifeId, RunRef run, StartAnswer answer, long nowMs) {
    lives
        .find(lifeId)
        .ifPresent(
            life ->
                life.find(run)
                    .ifPresent(found -> orders.startAnswered(life, found, answer, nowMs)));
  }

  /**
   * Takes what became of a stop.
   *
   * @param answered whether the worker said that it was carried out
   */
  public void stopAnswered(String lifeId, RunRef run, boolean answered, long nowMs) {
    lives
        .find(lifeId)
        .ifPresent(
            life ->
                life.find(run)
                    .ifPresent(found -> orders.stopAnswered(life, found, answered, nowMs)));
  }

  /** Takes a worker's list of its runs. */
  public void holdAnswered(String lifeId, HoldAnswer answer, long nowMs) {
    if (!register.claimAnswered(lifeId, answer, nowMs)) {
      lives.find(lifeId).ifPresent(life -> lists.answered(life, answer, nowMs));
    }
  }

  // Owners.

  /** Notes a session of an owner, and tells it when every run of its earlier ones is over. */
  public void sessionBegan(long sessionId, String ownerId, long nowMs) {
    owners.began(sessionId, ownerId, nowMs);
  }

  /**
   * Renews an owner's lease, and answers with the workers unless they were shown a moment ago.
   *
   * @param follows whether the owner is to be shown changes as they come
   */
  public void ownerBeat(long sessionId, long sentAtMs, boolean follows, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> owners.beat(session, sentAtMs, follows, nowMs));
  }

  /** Takes an owner's word of what waits there for room. */
  public void ownerWaiting(long sessionId, OwnerWaiting news, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> owners.waiting(session, news, nowMs));
  }

  /** Notes that a session goes on on a new connection. */
  public void sessionResumed(long sessionId, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> owners.resumed(session, nowMs));
  }

  /** Notes that a session is over and can't go on; the owner's runs are stopped. */
  public void sessionEnded(long sessionId, String reason, long nowMs) {
    owners.ended(sessionId, reason, nowMs);
  }

  /** Starts the runs of an order, as far as they may start. */
  public void startRuns(long sessionId, StartRuns order, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> orders.start(session, order, nowMs));
  }

  /** Stops a run on its owner's word. One that is not here is over. */
  public void stopRun(long sessionId, RunRef run, long nowMs) {
    orders.stop(sessionId, run, nowMs);
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
  public boolean zonesLearned(EvacuatedZones heard, String source, long nowMs) {
    if (!gate.learn(heard, nowMs)) {
      return false;
    }
    String outcome =
        "version=%d evacuated=%s startsHere=%s runs=%d"
            .formatted(heard.version(), heard.zones(), gate.isZoneOpen(), runCount());
    outbox.note("zonesInForce", "", source, outcome);
    return true;
  }

  /** Returns what is known of the evacuated availability zones. */
  public EvacuatedZonesView zones() {
    return gate.zones();
  }

  /** Returns the number of runs that were refused as the zone is evacuated, or not known not to. */
  public long refusedForZoneCount() {
    return gate.refusedForZoneCount();
  }

  // Sleep.

  /** Notes that this box may have slept: no lease of an owner is believed until it answers. */
  public void mayHaveSlept(long sleptMs, long nowMs) {
    owners.doubtAll(sleptMs, nowMs);
  }

  /** Takes an owner's proof that a session goes on. */
  public void sessionProven(long sessionId, long number, long sentAtMs, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> owners.proven(session, number, sentAtMs, nowMs));
  }

  /** Proves to an owner that its session goes on, if it does. */
  public void sessionProbed(long sessionId, long number, long nowMs) {
    sessions.find(sessionId).ifPresent(session -> owners.probed(session, number, nowMs));
  }

  // Time and rows.

  /** Does what the time has made due. */
  public void onTick(long nowMs) {
    owners.closeOver(nowMs);
    for (WorkerLife life : lives.all()) {
      lists.endRunsOfLost(life, nowMs);
      orders.repeatStops(life, nowMs);
      lists.askIfDue(life, nowMs);
    }
    owners.tellOfFormerRuns(nowMs);
  }

  /** Shows the workers to owners, as far as something has changed for them. */
  public void showRows(long nowMs) {
    owners.showAll(nowMs);
  }

  /** Takes no further runs; those that are here go on to their ends. */
  public void stopTaking() {
    gate.stopTaking();
  }

  /** Returns whether nothing runs here. */
  public boolean isIdle() {
    return lives.isIdle();
  }

  /** Returns the number of runs that are not over. */
  public int runCount() {
    return lives.runCount();
  }

  /** Returns the number of start calls that had no answer. */
  public long unansweredStartCount() {
    return orders.unansweredStartCount();
  }

  /** Returns the number of ends that workers listed of runs that were not known here. */
  public long unknownEndCount() {
    return lists.unknownEndCount();
  }

  /** Returns the number of workers. */
  public int workerCount() {
    return lives.size();
  }
}
