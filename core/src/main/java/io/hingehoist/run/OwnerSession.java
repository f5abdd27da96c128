package io.hingehoist.run;

/** A connection of an owner to a host. Owned by {@link WorkerHost}. */
final class OwnerSession {
  final long id;
  final String ownerId;
  final LeaseClock lease;
  boolean formerRunsOver;
  long lastOrder;

  OwnerSession(long id, String ownerId, LeaseClock lease) {
    this.id = id;
    this.ownerId = ownerId;
    this.lease = lease;
  }
}
