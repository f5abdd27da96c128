package io.hingehoist.placement;

import io.hingehoist.message.AgentInfo;
import io.hingehoist.message.MemberState;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What an entry knows of one worker: its agent, the work in flight there, and its load.
 *
 * <p>The load caused by other entries is known only from the agent's latest answer. Not
 * thread-safe: the dispatch thread owns it.
 *
 * @param <W> the type of a piece of work
 */
public final class Worker<W> {
  /** Age of the latest answer after which a worker that seemed full is tried again. */
  private static final long VIEW_MAX_AGE_MS = 50;

  /** With less work than this in flight, its age says little. */
  private static final int MIN_OLD_WORK = 3;

  /** Weight of a new service time in the moving average. */
  private static final double AVERAGE_WEIGHT = 0.2;

  private AgentInfo info;
  private boolean connected;
  private long seenIncarnation;
  private boolean refusesWork;
  private final Map<W, Long> sentAtMs = new LinkedHashMap<>();
  private int busyForOthers;
  private long reportedAtMs;
  private int credits;
  private double averageMicros;
  private long sampleCount;
  private long ejectedUntilMs;

  private Worker(AgentInfo info) {
    this.info = info;
  }

  /** Creates the view of a worker that is not connected yet. */
  public static <W> Worker<W> create(AgentInfo info) {
    return new Worker<>(info);
  }

  /** Returns the name of the agent. */
  public String agentId() {
    return info.agentId();
  }

  /** Returns what the control replicas say of the agent. */
  public AgentInfo info() {
    return info;
  }

  /** Takes over what the control replicas say of the agent. */
  public void update(AgentInfo newInfo) {
    info = newInfo;
  }

  /** Notes that a connection is open and what the agent said of itself on it. */
  public void onStatus(long incarnation, boolean draining, int newBusyForOthers, long nowMs) {
    if (!connected || incarnation != seenIncarnation) {
      credits = 0;
    }
    connected = true;
    seenIncarnation = incarnation;
    refusesWork = draining;
    recordBusyForOthers(newBusyForOthers, nowMs);
  }

  /** Notes that the connection is lost. */
  public void onDisconnected() {
    connected = false;
    credits = 0;
  }

  /** Returns whether messages reach the agent's registered incarnation. */
  public boolean isReachable() {
    return connected && seenIncarnation == info.incarnation();
  }

  /** Returns whether new work may be sent at all, slots aside. */
  public boolean takesWork(long nowMs) {
    return isReachable()
        && info.state() == MemberState.LIVE
        && !refusesWork
        && nowMs >= ejectedUntilMs;
  }

  /** Returns whether the agent is about to stop, or is drained. */
  public boolean isDraining() {
    return refusesWork || info.state() == MemberState.DRAINING;
  }

  /** Notes that the agent said it takes no new work. */
  public void recordRefusal() {
    refusesWork = true;
  }

  /** Notes how many slots the agent said are taken by other entries. */
  public void recordBusyForOthers(int slots, long nowMs) {
    busyForOthers = slots;
    reportedAtMs = nowMs;
  }

  /** Returns whether the agent has told its load at this moment. */
  public boolean isFresh(long nowMs) {
    return reportedAtMs == nowMs;
  }

  /** Returns how many slots seem free, as far as the latest answer tells. */
  public int estimatedFreeSlots(long nowMs) {
    int free = info.slots() - sentAtMs.size() - busyForOthers;
    boolean stale = nowMs - reportedAtMs > VIEW_MAX_AGE_MS;
    if (free <= 0 && stale && sentAtMs.size() < info.slots()) {
      return 1;
    }
    return free;
  }

  /** Returns the share of the slots that is in use, as far as the latest answer tells. */
  public double load(long nowMs) {
    return 1.0 - (double) estimatedFreeSlots(nowMs) / info.slots();
  }

  /** Returns the slots that may be filled without asking. */
  public int credits() {
    return credits;
  }

  /** Adds credits that the agent granted. */
  public void addCredits(int granted) {
    credits += granted;
  }

  /** Removes up to a number of unused credits and returns how many were removed. */
  public int removeCredits(int asked) {
    int removed = Math.min(credits, Math.max(0, asked));
    credits -= removed;
    return removed;
  }

  /** Notes that a piece of work was sent. */
  public void recordSent(W work, long nowMs) {
    sentAtMs.put(work, nowMs);
    if (credits > 0) {
      credits--;
    }
  }

  /** Notes that a piece of work runs here although this entry did not send it. */
  public void recordAdopted(W work, long nowMs) {
    sentAtMs.put(work, nowMs);
  }

  /** Notes that a piece of work is no longer in flight; returns whether it was. */
  public boolean recordEnded(W work) {
    return sentAtMs.remove(work) != null;
  }

  /** Returns the work in flight, oldest first. */
  public List<W> inFlight() {
    return List.copyOf(sentAtMs.keySet());
  }

  /** Returns the number of pieces of work in flight. */
  public int inFlightCount() {
    return sentAtMs.size();
  }

  /** Takes a measured service time into the average. */
  public void recordServiceTime(long micros) {
    sampleCount++;
    double weight = Math.max(AVERAGE_WEIGHT, 1.0 / sampleCount);
    averageMicros += weight * (micros - averageMicros);
  }

  /**
   * Returns how slow the worker is: its average, or the age of half of its work if that is more.
   * One straggler says nothing of a worker, but a stuck one has nothing but old work.
   */
  public Optional<Double> slownessMicros(long nowMs) {
    double ageMicros = sentAtMs.size() < MIN_OLD_WORK ? 0 : 1_000.0 * medianAgeMs(nowMs);
    if (sampleCount == 0 && ageMicros == 0) {
      return Optional.empty();
    }
    return Optional.of(Math.max(averageMicros, ageMicros));
  }

  private long medianAgeMs(long nowMs) {
    return nowMs - sentAtMs.values().stream().skip(sentAtMs.size() / 2).findFirst().orElse(nowMs);
  }

  /** Returns the average service time in microseconds; 0 before the first measurement. */
  public double averageMicros() {
    return averageMicros;
  }

  /** Leaves the worker out until a time, and forgets its average so that it can show it is well. */
  public void eject(long untilMs) {
    ejectedUntilMs = untilMs;
    averageMicros = 0;
    sampleCount = 0;
  }

  /** Returns whether the worker is left out for slowness. */
  public boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }
}
