package io.hingehoist.adapter;

/**
 * A heartbeat that was ignored because it names no usable worker.
 *
 * @param sender the worker id under which it was sent
 * @param problem why it was ignored
 * @param detail the field, its value and the allowed range
 */
public record IgnoredHeartbeat(String sender, Problem problem, String detail) {

  /** The reasons for which a heartbeat is ignored. */
  public enum Problem {
    /** The body is not one complete JSON object. */
    UNREADABLE,
    /** A field is missing, has the wrong type, or is out of range. */
    BAD_FIELD,
    /** The state is not a known one. */
    UNKNOWN_STATE,
    /** The service differs from the service of the worker on this box. */
    OTHER_SERVICE
  }
}
