package io.hingehoist.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** A policy by which an entry chooses a worker among unordered candidates that accept work. */
public sealed interface PlacementPolicy {

  /** Chooses any worker, whether it seems full or not. Serves as the baseline. */
  record RandomChoice() implements PlacementPolicy {}

  /**
   * Chooses the less loaded of two random workers (Mitzenmacher, "The Power of Two Choices in
   * Randomized Load Balancing", 2001). Keeps work queued while every worker seems full.
   */
  record TwoChoices() implements PlacementPolicy {}

  /**
   * Chooses a worker that runs the least work of this entry. Entries with similar load thus use
   * similar shares of each worker without communicating. Keeps work queued while every worker seems
   * full.
   */
  record LeastOutstanding() implements PlacementPolicy {}

  /** Chooses a worker whose agent has granted a slot. Keeps work queued while there is none. */
  record SlotCredits() implements PlacementPolicy {}

  /** Returns the policy with the given name, as used in the settings. */
  static PlacementPolicy forName(String name) {
    return switch (name) {
      case "random" -> new RandomChoice();
      case "twoChoices" -> new TwoChoices();
      case "leastOutstanding" -> new LeastOutstanding();
      case "slotCredits" -> new SlotCredits();
      default -> throw new IllegalArgumentException("unknown placement policy: " + name);
    };
  }

  /** Returns the worker for the next piece of work; empty if the work has to stay queued. */
  default <W> Optional<Worker<W>> choose(
      List<Worker<W>> candidates, RandomGenerator random, long nowMs) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return switch (this) {
      case RandomChoice policy -> Optional.of(candidates.get(random.nextInt(candidates.size())));
      case TwoChoices policy -> PlacementPolicies.lessLoadedOfTwo(candidates, random, nowMs);
      case LeastOutstanding policy -> PlacementPolicies.leastOutstanding(candidates, random, nowMs);
      case SlotCredits policy -> PlacementPolicies.mostCredits(candidates, random);
    };
  }
}
