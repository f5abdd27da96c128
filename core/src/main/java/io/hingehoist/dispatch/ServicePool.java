package io.hingehoist.dispatch;

import io.hingehoist.message.CreditDemand;
import io.hingehoist.placement.PlacementPolicy;
import io.hingehoist.placement.Worker;
import io.hingehoist.settings.ServicePolicy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The workers of one service and the work that waits for them, as one entry sees them. Not
 * thread-safe: the dispatch thread owns it.
 */
final class ServicePool {
  /** How long no work may have waited before agents are told so. */
  private static final long DEMAND_LINGER_MS = 100;

  /** Credits kept for the next arrivals when another entry is short. */
  private static final int KEPT_CREDITS = 2;

  private static final int NO_CREDITS_WANTED = -1;

  private static final double AVERAGE_WEIGHT = 0.05;

  private final RandomGenerator random;
  private final Map<String, Worker<Work>> workers = new LinkedHashMap<>();
  private final WorkQueue queue = new WorkQueue();
  private final RefusalBackoff backoff = new RefusalBackoff();
  private final Set<String> toldWaiting = new HashSet<>();
  private final Set<String> subscribed = new HashSet<>();
  private long admittingTasks;
  private long lastWaitedMs;
  private double averageServiceMs;
  private long sampleCount;

  ServicePool(RandomGenerator random) {
    this.random = random;
  }

  RefusalBackoff backoff() {
    return backoff;
  }

  WorkQueue queue() {
    return queue;
  }

  Map<String, Worker<Work>> workers() {
    return workers;
  }

  void noteServiceTime(Worker<Work> worker, long micros) {
    worker.recordServiceTime(micros);
    sampleCount++;
    double weight = Math.max(AVERAGE_WEIGHT, 1.0 / sampleCount);
    averageServiceMs += weight * (micros / 1_000.0 - averageServiceMs);
  }

  void reserve(long tasks) {
    admittingTasks += tasks;
  }

  void release(long tasks) {
    admittingTasks -= tasks;
  }

  int inFlightCount() {
    return workers.values().stream().mapToInt(Worker::inFlightCount).sum();
  }

  /** Returns the tasks that wait here, those of submissions under admission included. */
  long waitingTasks() {
    return queue.size() + admittingTasks;
  }

  boolean hasWorkers(long nowMs) {
    return workers.values().stream().anyMatch(worker -> worker.takesWork(nowMs));
  }

  /**
   * Returns how long new tasks would take from now on, by the service times seen so far and the
   * slots that this entry gets.
   */
  double estimatedTimeMs(long newTasks, long nowMs) {
    long slots =
        workers.values().stream()
            .filter(worker -> worker.takesWork(nowMs))
            .mapToLong(worker -> worker.info().slots())
            .sum();
    // While work waits, what is in flight shows the share of the slots that this entry really has.
    long usableSlots = queue.size() > 0 ? inFlightCount() : slots;
    double rounds = (double) (waitingTasks() + newTasks) / Math.max(1, usableSlots);
    return averageServiceMs * Math.max(1, rounds);
  }

  /** Sends waiting work to workers as long as the policy finds one. */
  void pump(
      java.util.function.Function<Work, ServicePolicy> policyOf,
      java.util.function.BiConsumer<Work, Worker<Work>> sender,
      long nowMs) {
    Optional<Work> next = queue.peek();
    if (next.isEmpty()) {
      return;
    }
    List<Worker<Work>> takers = new ArrayList<>();
    for (Worker<Work> worker : workers.values()) {
      boolean showsRoom = worker.isFresh(nowMs) && worker.estimatedFreeSlots(nowMs) > 0;
      boolean worthTrying = !backoff.isPaused(nowMs) || showsRoom;
      if (worker.takesWork(nowMs) && worthTrying) {
        takers.add(worker);
      }
    }
    while (next.isPresent()) {
      Work work = next.get();
      PlacementPolicy policy = PlacementPolicy.forName(policyOf.apply(work).placement());
      Optional<Worker<Work>> chosen = policy.choose(untried(takers, work), random, nowMs);
      if (chosen.isEmpty()) {
        lastWaitedMs = nowMs;
        return;
      }
      queue.removeSent();
      chosen.get().recordSent(work, nowMs);
      sender.accept(work, chosen.get());
      next = queue.peek();
    }
  }

  /** A second try of a request goes to another worker than the first. */
  private static List<Worker<Work>> untried(List<Worker<Work>> takers, Work work) {
    if (work instanceof RequestWork request && !request.agentIds().isEmpty()) {
      return takers.stream()
          .filter(worker -> !request.agentIds().contains(worker.agentId()))
          .toList();
    }
    return takers;
  }

  /** Tells agents when this entry begins or ceases to hold work back for want of credits. */
  void tellDemand(boolean placesByCredit, Consumer<DispatchEffect> effects, long nowMs) {
    boolean waits = placesByCredit && queue.peek().isPresent();
    boolean lingers = nowMs - lastWaitedMs < DEMAND_LINGER_MS;
    for (Worker<Work> worker : workers.values()) {
      boolean told = toldWaiting.contains(worker.agentId());
      if (!worker.isReachable() || waits == told || (told && lingers)) {
        continue;
      }
      tell(worker, waits ? 1 : 0, effects);
    }
  }

  /** Returns the credits that may go to entries which are short of them. */
  int spareCredits() {
    int held = workers.values().stream().mapToInt(Worker::credits).sum();
    return Math.max(0, held - KEPT_CREDITS);
  }

  /** Subscribes to credits of an agent, or ends the subscription. */
  void subscribe(Worker<Work> worker, boolean placesByCredit, Consumer<DispatchEffect> effects) {
    if (placesByCredit) {
      subscribed.add(worker.agentId());
      tell(worker, queue.peek().isPresent() ? 1 : 0, effects);
    } else if (subscribed.remove(worker.agentId())) {
      worker.removeCredits(worker.credits());
      tell(worker, NO_CREDITS_WANTED, effects);
    }
  }

  private void tell(Worker<Work> worker, int waiting, Consumer<DispatchEffect> effects) {
    if (waiting > 0) {
      toldWaiting.add(worker.agentId());
    } else {
      toldWaiting.remove(worker.agentId());
    }
    effects.accept(new DispatchEffect.Send(worker.agentId(), new CreditDemand(waiting)));
  }
}
