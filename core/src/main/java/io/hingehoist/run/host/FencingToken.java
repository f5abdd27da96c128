package io.hingehoist.run.host;

/**
 * Holds the fencing token by which a worker distinguishes a newer host process from an older one.
 *
 * <p>A worker that has seen a higher token refuses calls; the token is then raised in increments
 * that double each time, until it is the highest. Not thread-safe: confined to the event-loop
 * thread.
 */
final class FencingToken {
  private static final long INITIAL_INCREMENT = 1_000;

  /**
   * Far above the difference of two tokens that are initialized from clocks, and small enough that
   * the sum does not overflow.
   */
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
