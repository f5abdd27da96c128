package io.hingehoist.placement;

import io.hingehoist.message.AgentInfo;
import io.hingehoist.message.MemberState;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An entry's view of one worker: its agent, the work in flight there, and its load.
 *
 * <p>The load caused by other entries is known only from the agent's latest report. Not
 * thread-safe: confined to the dispatch thread.
 *
 * @param <W> the type of a piece of work
 */
public final class Worker<W> {
  /** Age of the latest load report after which a worker that seemed full is tried again. */
  private static final long REPORT_MAX_AGE_MS = 50;

  /** Work in flight below which its age does not indicate a slow worker. */
  private static final int MIN_WORK_FOR_AGE = 3;

  /** Weight of a new service time in the exponential moving average. */
  private static final double AVERAGE_WEIGHT = 0.2;

  private AgentInfo info;
  private boolean connected;
  private long connectedIncarnation;
  private boolean refusesWork;
  private final Map<W, Long> sentAtMsByWork = new LinkedHashMap<>();
  private int busyForOthers;
  private long reportedAtMs;
  private int credits;
  private double averageMicros;
  private long sampleCount;
  private long ejectedUntilMs;

  private Worker(AgentInfo info) {
    this.info = info;
  }

  /** Returns the view of a worker that is not connected yet. */
  public static <W> Worker<W> create(AgentInfo info) {
    return new Worker<>(info);
  }

  /** Returns the id of the agent. */
  public String agentId() {
    return info.agentId();
  }

  /** Returns the agent's registration at the control replicas. */
  public AgentInfo info() {
    return info;
  }

  /** Replaces the agent's registration at the control replicas. */
  public void update(AgentInfo newInfo) {
    info = newInfo;
  }

  /** Records the agent's status, received on an open connection. */
  public void onStatus(long incarnation, boolean draining, int newBusyForOthers, long nowMs) {
    if (!connected || incarnation != connectedIncarnation) {
      credits = 0;
    }
    connected = true;
    connectedIncarnation = incarnation;
    refusesWork = draining;
    recordBusyForOthers(newBusyForOthers, nowMs);
  }

  /** Records the loss of the connection. */
  public void onDisconnected() {
    connected = false;
    credits = 0;
  }

  /** Returns whether messages reach the agent's registered incarnation. */
  public boolean isReachable() {
    return connected && connectedIncarnation == info.incarnation();
  }

  /** Returns whether the worker accepts new work, regardless of its free slots. */
  public boolean acceptsWork(long nowMs) {
    return isReachable()
        && info.state() == MemberState.LIVE
        && !refusesWork
        && nowMs >= ejectedUntilMs;
  }

  /** Returns whether the agent is shutting down or being drained. */
  public boolean isDraining() {
    return refusesWork || info.state() == MemberState.DRAINING;
  }

  /** Records that the agent accepts no new work until its next status. */
  public void recordRefusal() {
    refusesWork = true;
  }

  /** Records the number of slots that the agent reported as used by other entries. */
  public void recordBusyForOthers(int slots, long nowMs) {
    busyForOthers = slots;
    reportedAtMs = nowMs;
  }

  /** Returns whether the agent reported its load at the given time. */
  public boolean hasLoadReportAt(long nowMs) {
    return reportedAtMs == nowMs;
  }

  /** Returns the estimated number of free slots, from the latest load report. */
  public int estimatedFreeSlots(long nowMs) {
    int free = info.slots() - sentAtMsByWork.size() - busyForOthers;
    boolean reportOutdated = nowMs - reportedAtMs > REPORT_MAX_AGE_MS;
    if (free <= 0 && reportOutdated && sentAtMsByWork.size() < info.slots()) {
      return 1;
    }
    return free;
  }

  /** Returns the estimated share of the slots in use, from the latest load report. */
  public double load(long nowMs) {
    return 1.0 - (double) estimatedFreeSlots(nowMs) / info.slots();
  }

  /** Returns the number of slots that the agent has granted and this entry has not used. */
  public int credits() {
    return credits;
  }

  /** Adds credits that the agent granted. */
  public void addCredits(int granted) {
    credits += granted;
  }

  /** Removes up to the given number of unused credits and returns how many were removed. */
  public int removeCredits(int requested) {
    int removed = Math.min(credits, Math.max(0, requested));
    credits -= removed;
    return removed;
  }

  /** Records that a piece of work was sent, which uses a credit if there is one. */
  public void recordSent(W work, long nowMs) {
    sentAtMsByWork.put(work, nowMs);
    if (credits > 0) {
      credits--;
    }
  }

  /** Records a running piece of work that another entry had sent. */
  public void recordAdopted(W work, long nowMs) {
    sentAtMsByWork.put(work, nowMs);
  }

  /** Records that a piece of work is no longer in flight; returns whether it was. */
  public boolean recordEnded(W work) {
    return sentAtMsByWork.remove(work) != null;
  }

  /** Returns the work in flight, oldest first. */
  public List<W> inFlight() {
    return List.copyOf(sentAtMsByWork.keySet());
  }

  /** Returns the number of pieces of work in flight. */
  public int inFlightCount() {
    return sentAtMsByWork.size();
  }

  /** Adds a measured service time to the average. */
  public void recordServiceTime(long micros) {
    sampleCount++;
    double weight = Math.max(AVERAGE_WEIGHT, 1.0 / sampleCount);
    averageMicros += weight * (micros - averageMicros);
  }

  /**
   * Returns the slowness of the worker in microseconds: its average service time, or the median age
   * of its work in flight if that is greater. The median ignores a single long-running piece of
   * work but reveals a stuck worker, all of whose work is old. Empty without a measurement.
   */
  public Optional<Double> slownessMicros(long nowMs) {
    double ageMicros = sentAtMsByWork.size() < MIN_WORK_FOR_AGE ? 0 : 1_000.0 * medianAgeMs(nowMs);
    if (sampleCount == 0 && ageMicros == 0) {
      return Optional.empty();
    }
    return Optional.of(Math.max(averageMicros, ageMicros));
  }

  private long medianAgeMs(long nowMs) {
    return nowMs
        - sentAtMsByWork.values().stream()
            .skip(sentAtMsByWork.size() / 2)
            .findFirst()
            .orElse(nowMs);
  }

  /** Returns the average service time in microseconds; 0 before the first measurement. */
  public double averageMicros() {
    return averageMicros;
  }

  /**
   * Excludes the worker from placement until a time. Discards its average service time, so that it
   * is judged by new measurements afterwards.
   */
  public void eject(long untilMs) {
    ejectedUntilMs = untilMs;
    averageMicros = 0;
    sampleCount = 0;
  }

  /** Returns whether the worker is excluded from placement by {@link #eject}. */
  public boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }
}
