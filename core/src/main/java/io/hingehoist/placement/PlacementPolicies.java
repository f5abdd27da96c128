package io.hingehoist.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Static methods that implement the choices of {@link PlacementPolicy}. */
final class PlacementPolicies {
  private PlacementPolicies() {}

  static <W> Optional<Worker<W>> lessLoadedOfTwo(
      List<Worker<W>> candidates, RandomGenerator random, long nowMs) {
    List<Worker<W>> free = new ArrayList<>(candidates.size());
    for (Worker<W> candidate : candidates) {
      if (candidate.estimatedFreeSlots(nowMs) > 0) {
        free.add(candidate);
      }
    }
    if (free.isEmpty()) {
      return Optional.empty();
    }
    Worker<W> first = free.get(random.nextInt(free.size()));
    Worker<W> second = free.get(random.nextInt(free.size()));
    return Optional.of(second.load(nowMs) < first.load(nowMs) ? second : first);
  }

  /**
   * Returns a free worker with the least work of this entry; among equals, the least loaded one.
   */
  static <W> Optional<Worker<W>> leastOutstanding(
      List<Worker<W>> candidates, RandomGenerator random, long nowMs) {
    Worker<W> best = null;
    int start = random.nextInt(candidates.size());
    for (int i = 0; i < candidates.size(); i++) {
      Worker<W> candidate = candidates.get((start + i) % candidates.size());
      boolean free = candidate.estimatedFreeSlots(nowMs) > 0;
      if (free && (best == null || isLessUsed(candidate, best, nowMs))) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private static <W> boolean isLessUsed(Worker<W> one, Worker<W> other, long nowMs) {
    int difference = one.inFlightCount() - other.inFlightCount();
    return difference < 0 || (difference == 0 && one.load(nowMs) < other.load(nowMs));
  }

  /**
   * Returns the worker with the most credits; empty if none has any. Starts at a random worker, so
   * that entries with equal credits do not all choose the same worker at the same time.
   */
  static <W> Optional<Worker<W>> mostCredits(List<Worker<W>> candidates, RandomGenerator random) {
    int start = random.nextInt(candidates.size());
    Worker<W> best = candidates.get(start);
    for (int i = 1; i < candidates.size(); i++) {
      Worker<W> candidate = candidates.get((start + i) % candidates.size());
      if (candidate.credits() > best.credits()) {
        best = candidate;
      }
    }
    return best.credits() > 0 ? Optional.of(best) : Optional.empty();
  }
}
