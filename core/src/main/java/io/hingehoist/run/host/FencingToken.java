package io.hingehoist.run.host;

/**
 * The number by which a worker tells a newer host from an older one. A worker that has seen a
 * higher one refuses; the token then rises in growing steps until it is the highest. Owned by
 * {@link WorkerHost}.
 */
final class FencingToken {
  private static final long FIRST_JUMP = 1_000;

  private long value;
  private long jump = FIRST_JUMP;

  FencingToken(long value) {
    this.value = value;
  }

  long value() {
    return value;
  }

  void raise() {
    value += jump;
    jump *= 2;
  }
}
