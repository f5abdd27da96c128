package io.hingehoist.dispatch;

/**
 * Limits retries and hedges to a share of the first attempts, so that retries can't amplify an
 * overload. Not thread-safe: confined to the dispatch thread.
 */
final class RetryBudget {
  /** Retries that are allowed before any first attempt. */
  private static final double INITIAL_RETRIES = 10;

  private static final double MAX_RETRIES = 100;

  private double retries = INITIAL_RETRIES;

  /** Adds a fraction of a retry to the budget. */
  void recordFirstAttempt(long budgetPercent) {
    retries = Math.min(MAX_RETRIES, retries + budgetPercent / 100.0);
  }

  /** Uses up one retry; returns whether the budget had one. */
  boolean tryAcquireRetry(long budgetPercent) {
    if (budgetPercent == 0 || retries < 1) {
      return false;
    }
    retries--;
    return true;
  }
}
