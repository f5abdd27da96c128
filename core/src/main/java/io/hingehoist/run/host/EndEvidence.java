package io.hingehoist.run.host;

/** The evidence from which a host concluded that a run is over. */
enum EndEvidence {
  /** The worker listed the end. */
  LISTED,
  /** A list requested after the run could no longer start did not contain it. */
  NOT_LISTED,
  /** The start call was refused, and no earlier call was without a response. */
  START_REFUSED,
  /** The worker was silent until its lease had expired. */
  LEASE_EXPIRED,
  /** Another instance responded at the worker's address. */
  OTHER_INSTANCE,
  /** The worker restarted under the same name. */
  RESTARTED
}
