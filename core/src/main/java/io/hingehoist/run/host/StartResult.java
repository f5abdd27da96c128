package io.hingehoist.run.host;

import io.hingehoist.message.RunRefusal;

/** The result of a start call to a worker. */
public sealed interface StartResult {

  /** The worker has accepted the run. */
  record Started(long workerClockMs) implements StartResult {}

  /** The worker rejected the call because it has seen a higher fencing token. */
  record Fenced(long workerClockMs) implements StartResult {}

  /** The worker rejected the call because the deadline had passed by its clock. */
  record Late(long workerClockMs) implements StartResult {}

  /** The worker refused the run for the given reason. */
  record Refused(RunRefusal reason) implements StartResult {}

  /** There was no valid response: the call may be carried out, now or later. */
  record Unanswered() implements StartResult {}

  /** Another instance responded: the one that was called has ended. */
  record OtherInstance() implements StartResult {}

  /** The connection was refused, so this call was not carried out. */
  record ConnectionRefused() implements StartResult {}
}
