package io.hingehoist.wire;

import java.util.random.RandomGenerator;

/**
 * The time for which a link waits before it connects again. The delay grows as long as the peer
 * accepts connections and closes them at once, as one does that has too many. Not thread-safe:
 * confined to the thread of the link.
 */
public final class ReconnectDelay {
  /** The delay after an attempt to connect has failed. */
  public static final long RETRY_DELAY_MS = 100;

  static final long MAX_DELAY_MS = 3_200;

  /** A connection that was open for less than this was closed early. */
  static final long EARLY_CLOSE_MS = 1_000;

  private final RandomGenerator random;
  private long nextDelayMs = RETRY_DELAY_MS;

  private ReconnectDelay(RandomGenerator random) {
    this.random = random;
  }

  /** Creates a delay for a link without a connection. */
  public static ReconnectDelay create(RandomGenerator random) {
    return new ReconnectDelay(random);
  }

  /**
   * Returns the delay after a connection was closed, in milliseconds: none if it was open for long,
   * and otherwise between half of a value and the value, which doubles each time.
   *
   * @param openForMs the time for which the connection was open
   */
  public long afterClose(long openForMs) {
    if (openForMs >= EARLY_CLOSE_MS) {
      nextDelayMs = RETRY_DELAY_MS;
      return 0;
    }
    long delayMs = nextDelayMs / 2 + random.nextLong(nextDelayMs / 2 + 1);
    nextDelayMs = Math.min(MAX_DELAY_MS, 2 * nextDelayMs);
    return delayMs;
  }
}
