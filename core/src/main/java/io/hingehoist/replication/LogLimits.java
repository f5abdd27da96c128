package io.hingehoist.replication;

/**
 * The limits of a replica's log in bytes of entry bodies. A limit on the number of entries does not
 * bound memory, because callers choose the size of an entry.
 *
 * @param snapshotBytes the size of the entries applied since a snapshot from which the next is due
 * @param retainedBytes the size of the entries that are retained after a snapshot, for replicas
 *     that are slightly behind
 * @param uncommittedBytes the size of the uncommitted entries up to which a leader accepts further
 *     proposals
 * @param unackedBytes the size of the entries that a leader sends to a replica ahead of its answers
 */
public record LogLimits(
    long snapshotBytes, long retainedBytes, long uncommittedBytes, long unackedBytes) {

  /**
   * The share of the heap for each limit. At most three of them are in memory: the retained, the
   * committed and the uncommitted entries. The rest is left to the applied state, its snapshot, and
   * the encoding of messages.
   */
  private static final long HEAP_DIVISOR = 16;

  /** Checks that the limits are positive. */
  public LogLimits {
    if (Math.min(Math.min(snapshotBytes, retainedBytes), Math.min(uncommittedBytes, unackedBytes))
        <= 0) {
      throw new IllegalArgumentException(
          "limits must be positive: %d, %d, %d, %d"
              .formatted(snapshotBytes, retainedBytes, uncommittedBytes, unackedBytes));
    }
  }

  /**
   * Returns the limits for a process.
   *
   * @param heapBytes the maximum size of its heap
   */
  public static LogLimits ofHeap(long heapBytes) {
    long share = heapBytes / HEAP_DIVISOR;
    return new LogLimits(share, share, share, share);
  }
}
