package io.hingehoist.run.host;

import io.hingehoist.message.RunRefusal;

/** What became of an order to a worker. */
public sealed interface StartResult {

  /** The run is there. */
  record Started(long workerClockMs) implements StartResult {}

  /** The worker did nothing, as the token was lower than one that it has seen. */
  record Fenced(long workerClockMs) implements StartResult {}

  /** The worker did nothing, as the deadline had passed by its clock. */
  record Late(long workerClockMs) implements StartResult {}

  /** The worker did nothing, and says why. */
  record Refused(RunRefusal reason) implements StartResult {}

  /** Nothing is known: the order may be carried out, now or later. */
  record Unanswered() implements StartResult {}

  /** Another life answered: the one that was meant is over. */
  record OtherInstance() implements StartResult {}

  /** The connection was refused, so this call was not carried out. */
  record ConnectionRefused() implements StartResult {}
}
