package io.hingehoist.dispatch;

/** Why an entry does not take work. */
public enum RefusalCause {
  /** The entry has no fresh lease, so its settings may be old. */
  NO_LEASE,
  /** The entry is about to stop. */
  STOPPING,
  /** Settings have the service, job class or place disabled. */
  DISABLED,
  /** No worker of the service takes work. */
  NO_WORKERS,
  /** The queue of the service is full. */
  QUEUE_FULL,
  /** The deadline can't be met with the work that waits already. */
  DEADLINE
}
