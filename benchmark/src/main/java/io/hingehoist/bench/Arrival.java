package io.hingehoist.bench;

import java.util.List;

/**
 * One thing that a caller sends.
 *
 * @param number its place in the plan
 * @param sendAtNanos when it is meant to be sent, from the start of the load
 * @param kind what it is
 * @param taskMs how long each of its tasks takes
 */
record Arrival(int number, long sendAtNanos, Kind kind, List<Integer> taskMs) {

  /** What a caller sends. */
  enum Kind {
    /** A request that may be repeated: the fast path. */
    REPEATABLE,
    /** A request that must not be repeated: the durable path. */
    NON_REPEATABLE,
    /** A job of several tasks: the durable path. */
    JOB
  }

  /** Returns the time that the tasks take when each has a slot at once. */
  int idealMs() {
    return taskMs.stream().mapToInt(Integer::intValue).max().orElseThrow();
  }
}
