package io.hingehoist.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Limits the number of callers that wait for an answer at the same time. Thread-safe. */
final class WaitingLimit {
  private static final long RETRY_AFTER_MS = 1_000;

  private final long limit;
  private final AtomicLong waiting = new AtomicLong();

  private WaitingLimit(long limit) {
    this.limit = limit;
  }

  static WaitingLimit create(long limit) {
    return new WaitingLimit(limit);
  }

  /**
   * Runs an action unless too many callers are waiting. Above the limit the answer is "unknown",
   * not "refused", because it has not been checked whether the same submission was admitted before.
   */
  CompletableFuture<Answer> runIfBelowLimit(Supplier<CompletableFuture<Answer>> action) {
    if (waiting.incrementAndGet() > limit) {
      waiting.decrementAndGet();
      Answer busy = new Answer.Unknown("too many callers wait here", RETRY_AFTER_MS);
      return CompletableFuture.completedFuture(busy);
    }
    return action.get().whenComplete((answer, failure) -> waiting.decrementAndGet());
  }
}
