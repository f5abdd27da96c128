package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;

/**
 * A run at a worker, from its start order until it is provably over. Not thread-safe: confined to
 * the event-loop thread.
 */
final class HostedRun {
  enum State {
    /** The start call has no response yet. */
    ORDERED,
    /** The worker has confirmed the start. */
    RUNNING,
    /**
     * The worker confirmed the start and has restarted since. The confirmation may be of either
     * instance; the next list shows of which.
     */
    UNCONFIRMED,
    /** A stop call was sent, and the worker has not listed the end yet. */
    STOPPING,
    /** The worker has confirmed the stop; the next list shows whether the run still exists. */
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

  /** When the last start or stop call was sent. */
  long lastCallAtMs;

  /** The number of consecutive calls without a response. */
  int unansweredCalls;

  /** The total number of start calls without a response; each may have been carried out. */
  int unansweredStarts;

  /** Whether the worker has confirmed a start call. */
  boolean startConfirmed;

  /** Whether a start call is waiting for its response. */
  boolean startPending;

  /** When the last start call was sent. */
  long lastStartCallAtMs;

  /** When the deadlines of all start calls have passed, so that none can still be carried out. */
  long startCallsExpireAtMs;

  /** Since when the run is {@link State#UNCONFIRMED}. */
  private long unconfirmedSinceMs;

  /** Whether a stop call is waiting for its response. */
  boolean stopPending;

  /**
   * The time after which other processes assume that the run is over; {@link Long#MAX_VALUE} while
   * it may continue.
   */
  private long mustEndByMs = Long.MAX_VALUE;

  HostedRun(RunRef run, StartRuns order, long sessionId, long nowMs) {
    this.run = run;
    this.need = order.need();
    this.spec = order.spec();
    this.estimateMs = order.estimateMs();
    this.sessionId = sessionId;
    this.orderedAtMs = nowMs;
  }

  /** Records that other processes assume the run to be over at a time; the earliest one applies. */
  void limitEnd(long atMs) {
    mustEndByMs = Math.min(mustEndByMs, atMs);
  }

  /** Handles a possible sleep of this box, which the clock of the recorded time did not count. */
  void onSuspectedSleep(long sleptMs) {
    if (mustEndByMs != Long.MAX_VALUE) {
      mustEndByMs -= sleptMs;
    }
  }

  long mustEndByMs() {
    return mustEndByMs;
  }

  /** Records a restart of the worker that confirmed the start. */
  void markUnconfirmed(long nowMs) {
    state = State.UNCONFIRMED;
    unconfirmedSinceMs = nowMs;
  }

  /** Returns whether a list shows which instance started an {@link State#UNCONFIRMED} run. */
  boolean isConfirmedBy(long listRequestedAtMs) {
    return state == State.UNCONFIRMED && listRequestedAtMs >= unconfirmedSinceMs;
  }

  /**
   * Returns whether, of a run that was carried out, another start call has had no response. Unless
   * one was confirmed, the run came of one of those without.
   */
  boolean hasOtherLostStarts() {
    int lostStarts = unansweredStarts + (startPending ? 1 : 0);
    return lostStarts > (startConfirmed ? 0 : 1);
  }

  /** Returns whether a start call may still be carried out: some call has had no response. */
  boolean mayStillStart() {
    return startPending || unansweredStarts > 0;
  }
}
