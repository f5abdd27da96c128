package io.hingehoist.net;

/**
 * Bounds the total size of the request bodies that a server holds at once. Not thread-safe:
 * confined to the event loop.
 */
final class BodyBudget {
  private final long maxBytes;
  private long reservedBytes;

  private BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  static BodyBudget of(long maxBytes) {
    return new BodyBudget(maxBytes);
  }

  /**
   * Reserves a number of bytes, or returns false and reserves nothing if they exceed the budget.
   */
  boolean reserve(long bytes) {
    if (bytes > maxBytes - reservedBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  void release(long bytes) {
    reservedBytes -= bytes;
  }
}
