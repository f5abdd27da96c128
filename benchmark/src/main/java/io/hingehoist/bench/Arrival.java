package io.hingehoist.bench;

import java.util.List;

/**
 * One submission of a planned load.
 *
 * @param index its position in the plan
 * @param sendAtNanos when it is scheduled to be sent, counted from the start of the load
 * @param kind the kind of submission
 * @param taskMs the duration of each of its tasks
 */
record Arrival(int index, long sendAtNanos, Kind kind, List<Integer> taskMs) {

  /** The kind of a submission. */
  enum Kind {
    /** A request that may be repeated, which takes the fast path. */
    REPEATABLE,
    /** A request that must not be repeated, which takes the durable path. */
    NON_REPEATABLE,
    /** A job of several tasks, which takes the durable path. */
    JOB
  }

  /** Returns the response time if every task started without delay: that of the longest task. */
  int idealMs() {
    return taskMs.stream().mapToInt(Integer::intValue).max().orElseThrow();
  }
}
