package io.hingehoist.run.host;

/**
 * The number by which a worker tells a newer host from an older one. A worker that has seen a
 * higher one refuses; the token then rises in growing steps until it is the highest. Owned by
 * {@link WorkerHost}.
 */
final class FencingToken {
  private static final long INITIAL_INCREMENT = 1_000;

  /** Far above the difference of two tokens that begin as times; smaller ones never overflow. */
  private static final long MAX_INCREMENT = 1L << 40;

  private long value;
  private long increment = INITIAL_INCREMENT;

  FencingToken(long value) {
    this.value = value;
  }

  long value() {
    return value;
  }

  void raise() {
    value += increment;
    increment = Math.min(MAX_INCREMENT, 2 * increment);
  }
}
