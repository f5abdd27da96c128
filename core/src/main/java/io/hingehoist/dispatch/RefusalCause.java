package io.hingehoist.dispatch;

/** The reason why an entry does not accept work. */
public enum RefusalCause {
  /** The entry has no valid lease, so its settings may be outdated. */
  NO_LEASE,
  /** The entry is shutting down. */
  STOPPING,
  /** The settings disable the service, job class or zone. */
  DISABLED,
  /** No worker of the service accepts work. */
  NO_WORKERS,
  /** The queue of the service is full. */
  QUEUE_FULL,
  /** The deadline can't be met, given the work that is already queued. */
  DEADLINE
}
