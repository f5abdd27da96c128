package io.hingehoist.dispatch;

/** A task or request that waits for a worker or is in flight. Compared by identity. */
abstract sealed class Work permits TaskWork, RequestWork {
  private final long sequence;

  Work(long sequence) {
    this.sequence = sequence;
  }

  /** Returns the position in the order of arrival. */
  long sequence() {
    return sequence;
  }

  abstract String service();

  abstract String jobClass();

  abstract String team();

  abstract long deadlineMs();

  /** Returns whether the work is still waiting for a worker. */
  abstract boolean isWaiting();
}
