package io.hingehoist.limits;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The bytes of a body that is being received. It grows with the bytes that arrive, whatever length
 * was announced. Not thread-safe.
 */
public final class BodyBuffer {
  private static final int MIN_CAPACITY = 256;
  private static final byte[] EMPTY = {};

  private final int maxBytes;
  private byte[] bytes = EMPTY;
  private int size;

  private BodyBuffer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Returns an empty buffer.
   *
   * @param maxBytes the maximum size of the body
   */
  public static BodyBuffer create(int maxBytes) {
    return new BodyBuffer(maxBytes);
  }

  /** Appends the remaining bytes of a buffer. */
  public void append(ByteBuffer content) {
    int count = content.remaining();
    ensureCapacity(size + count);
    content.get(bytes, size, count);
    size += count;
  }

  private void ensureCapacity(int required) {
    int needed = capacityFor(required - size);
    if (needed > bytes.length) {
      bytes = Arrays.copyOf(bytes, needed);
    }
  }

  /** Returns the bytes of memory in use once a number of bytes has been appended. */
  public int capacityFor(int count) {
    int required = size + count;
    if (required <= bytes.length) {
      return bytes.length;
    }
    long doubled = Math.max(MIN_CAPACITY, 2L * bytes.length);
    return (int) Math.max(required, Math.min(doubled, maxBytes));
  }

  /** Drops the bytes that were received. */
  public void clear() {
    bytes = EMPTY;
    size = 0;
  }

  /** Returns the number of bytes that were received. */
  public int size() {
    return size;
  }

  /** Returns the bytes of memory in use. */
  public int capacity() {
    return bytes.length;
  }

  /** Returns the body. The buffer must not be used afterwards. */
  public byte[] toBytes() {
    return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
  }
}
