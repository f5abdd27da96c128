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
 * The workers of one service and the work that waits for them, as seen by one entry. Not
 * thread-safe: confined to the dispatch thread.
 */
final class ServicePool {
  /** Time without waiting work after which agents are notified that the demand has ended. */
  private static final long DEMAND_LINGER_MS = 100;

  /** Credits retained for the next arrivals when another entry needs some. */
  private static final int RETAINED_CREDITS = 2;

  private static final int UNSUBSCRIBE = -1;

  private static final double AVERAGE_WEIGHT = 0.05;

  private final RandomGenerator random;
  private final Map<String, Worker<Work>> workers = new LinkedHashMap<>();
  private final WorkQueue queue = new WorkQueue();
  private final RefusalBackoff backoff = new RefusalBackoff();
  private final Set<String> notifiedOfDemand = new HashSet<>();
  private final Set<String> subscribed = new HashSet<>();
  private long reservedTasks;
  private long lastWaitingAtMs;
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

  void recordServiceTime(Worker<Work> worker, long micros) {
    worker.recordServiceTime(micros);
    sampleCount++;
    double weight = Math.max(AVERAGE_WEIGHT, 1.0 / sampleCount);
    averageServiceMs += weight * (micros / 1_000.0 - averageServiceMs);
  }

  void reserve(long tasks) {
    reservedTasks += tasks;
  }

  void release(long tasks) {
    reservedTasks -= tasks;
  }

  int inFlightCount() {
    return workers.values().stream().mapToInt(Worker::inFlightCount).sum();
  }

  /** Returns the number of waiting tasks, including those of submissions under admission. */
  long waitingTasks() {
    return queue.size() + reservedTasks;
  }

  boolean hasWorkers(long nowMs) {
    return workers.values().stream().anyMatch(worker -> worker.acceptsWork(nowMs));
  }

  /**
   * Returns the estimated time until new tasks would have ended, from the measured service times
   * and the slots that this entry can use.
   */
  double estimatedTimeMs(long newTasks, long nowMs) {
    long slots =
        workers.values().stream()
            .filter(worker -> worker.acceptsWork(nowMs))
            .mapToLong(worker -> worker.info().slots())
            .sum();
    // While work waits, every slot that this entry can get is in use, so the work in flight equals
    // its actual share of the slots.
    long usableSlots = queue.size() > 0 ? inFlightCount() : slots;
    double rounds = (double) (waitingTasks() + newTasks) / Math.max(1, usableSlots);
    return averageServiceMs * Math.max(1, rounds);
  }

  /** Sends waiting work to workers until the placement policy finds none. */
  void dispatchWaiting(
      java.util.function.Function<Work, ServicePolicy> policyOf,
      java.util.function.BiConsumer<Work, Worker<Work>> sender,
      long nowMs) {
    Optional<Work> next = queue.peek();
    if (next.isEmpty()) {
      return;
    }
    List<Worker<Work>> candidates = new ArrayList<>();
    for (Worker<Work> worker : workers.values()) {
      boolean reportsFreeSlots =
          worker.hasLoadReportAt(nowMs) && worker.estimatedFreeSlots(nowMs) > 0;
      boolean worthTrying = !backoff.isPaused(nowMs) || reportsFreeSlots;
      if (worker.acceptsWork(nowMs) && worthTrying) {
        candidates.add(worker);
      }
    }
    while (next.isPresent()) {
      Work work = next.get();
      PlacementPolicy policy = PlacementPolicy.forName(policyOf.apply(work).placement());
      Optional<Worker<Work>> chosen = policy.choose(withoutTried(candidates, work), random, nowMs);
      if (chosen.isEmpty()) {
        lastWaitingAtMs = nowMs;
        return;
      }
      queue.removeSent();
      chosen.get().recordSent(work, nowMs);
      sender.accept(work, chosen.get());
      next = queue.peek();
    }
  }

  /** Returns the candidates without those that already have an attempt of the request in flight. */
  private static List<Worker<Work>> withoutTried(List<Worker<Work>> candidates, Work work) {
    if (work instanceof RequestWork request && !request.agentIds().isEmpty()) {
      return candidates.stream()
          .filter(worker -> !request.agentIds().contains(worker.agentId()))
          .toList();
    }
    return candidates;
  }

  /** Notifies agents when work of this entry starts or ceases to wait for credits. */
  void sendDemandChanges(boolean usesSlotCredits, Consumer<DispatchEffect> effects, long nowMs) {
    boolean waits = usesSlotCredits && queue.peek().isPresent();
    boolean lingers = nowMs - lastWaitingAtMs < DEMAND_LINGER_MS;
    for (Worker<Work> worker : workers.values()) {
      boolean notified = notifiedOfDemand.contains(worker.agentId());
      if (!worker.isReachable() || waits == notified || (notified && lingers)) {
        continue;
      }
      sendDemand(worker, waits ? 1 : 0, effects);
    }
  }

  /** Returns the number of credits that other entries may get. */
  int spareCredits() {
    int held = workers.values().stream().mapToInt(Worker::credits).sum();
    return Math.max(0, held - RETAINED_CREDITS);
  }

  /** Subscribes to an agent's credits, or ends the subscription. */
  void updateSubscription(
      Worker<Work> worker, boolean usesSlotCredits, Consumer<DispatchEffect> effects) {
    if (usesSlotCredits) {
      subscribed.add(worker.agentId());
      sendDemand(worker, queue.peek().isPresent() ? 1 : 0, effects);
    } else if (subscribed.remove(worker.agentId())) {
      worker.removeCredits(worker.credits());
      sendDemand(worker, UNSUBSCRIBE, effects);
    }
  }

  private void sendDemand(Worker<Work> worker, int waiting, Consumer<DispatchEffect> effects) {
    if (waiting > 0) {
      notifiedOfDemand.add(worker.agentId());
    } else {
      notifiedOfDemand.remove(worker.agentId());
    }
    effects.accept(new DispatchEffect.Send(worker.agentId(), new CreditDemand(waiting)));
  }
}
