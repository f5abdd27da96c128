package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;

/** One run at a worker, from its order until it is provably over. Owned by {@link WorkerHost}. */
final class HostedRun {
  enum State {
    /** The order has no answer yet. */
    ORDERED,
    /** The worker runs it. */
    RUNNING,
    /** A stop was ordered, and the end is not listed yet. */
    STOPPING,
    /** The stop was answered; the next list shows whether anything is there. */
    STOPPED
  }

  final RunRef run;
  final Room need;
  final String spec;
  final long estimateMs;
  final long sessionId;
  State state = State.ORDERED;
  long orderedAtMs;
  long stopSentAtMs;

  /** When the last call about it was sent, and how many in a row had no answer. */
  long lastCallAtMs;

  int unansweredCalls;

  /** How many of its start calls, in all, had no answer: each may have been carried out. */
  int unansweredStarts;

  /** When the deadlines of all its start calls have passed, so that none can be carried out. */
  long startCallsExpireAtMs;

  /** Whether the answer of a stop is yet to come. */
  boolean stopPending;

  /** When others take it for over; the latest time there is while it may go on. */
  private long mustEndByMs = Long.MAX_VALUE;

  HostedRun(RunRef run, StartRuns order, long sessionId, long nowMs) {
    this.run = run;
    this.need = order.need();
    this.spec = order.spec();
    this.estimateMs = order.estimateMs();
    this.sessionId = sessionId;
    this.orderedAtMs = nowMs;
  }

  /** Notes that others take it for over at a time; the earliest counts. */
  void limitEnd(long atMs) {
    mustEndByMs = Math.min(mustEndByMs, atMs);
  }

  long mustEndByMs() {
    return mustEndByMs;
  }

  /** Returns whether an order of it may be on its way: one had no answer, or none has yet. */
  boolean mayStillStart() {
    return state == State.ORDERED || state == State.STOPPING || unansweredStarts > 0;
  }
}
