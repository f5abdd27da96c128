package io.hingehoist.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** A rule by which an entry chooses a worker. The candidates take work and are in no order. */
public sealed interface PlacementPolicy {

  /** Takes any worker, whether it seems full or not: the baseline. */
  record RandomChoice() implements PlacementPolicy {}

  /**
   * Takes the less loaded of two workers (Mitzenmacher, "The Power of Two Choices in Randomized
   * Load Balancing", 2001), and holds work back when every worker seems full.
   */
  record TwoChoices() implements PlacementPolicy {}

  /**
   * Takes a worker that runs the least work of this entry. Entries with alike load so fill alike
   * shares of each worker without telling each other. Holds work back when every worker seems full.
   */
  record LeastOutstanding() implements PlacementPolicy {}

  /** Takes a worker whose agent has granted a slot, and holds work back when there is none. */
  record SlotCredits() implements PlacementPolicy {}

  /** Returns the policy that a setting names. */
  static PlacementPolicy forName(String name) {
    return switch (name) {
      case "random" -> new RandomChoice();
      case "twoChoices" -> new TwoChoices();
      case "leastOutstanding" -> new LeastOutstanding();
      case "slotCredits" -> new SlotCredits();
      default -> throw new IllegalArgumentException("no placement policy is named " + name);
    };
  }

  /** Returns the worker for the next piece of work; empty to hold it back. */
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
