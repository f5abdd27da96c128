package io.hingehoist.dispatch;

/**
 * Bounds retries and hedges to a share of first tries, so that retries can't feed an overload. Not
 * thread-safe: the dispatch thread owns it.
 */
final class RetryBudget {
  /** Retries that are allowed before any first try has earned them. */
  private static final double INITIAL_RETRIES = 10;

  private static final double MAX_RETRIES = 100;

  private double retries = INITIAL_RETRIES;

  /** Earns a share of a retry. */
  void noteFirstTry(long budgetPercent) {
    retries = Math.min(MAX_RETRIES, retries + budgetPercent / 100.0);
  }

  /** Takes one retry; returns whether there was one. */
  boolean takeRetry(long budgetPercent) {
    if (budgetPercent == 0 || retries < 1) {
      return false;
    }
    retries--;
    return true;
  }
}
