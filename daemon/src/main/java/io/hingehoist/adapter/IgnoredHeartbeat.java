package io.hingehoist.adapter;

/**
 * A heartbeat that names no worker to use.
 *
 * @param writer the name under which it came
 * @param problem what is wrong with it
 * @param detail the field, its value and what is allowed
 */
public record IgnoredHeartbeat(String sender, Problem problem, String detail) {

  /** What may be wrong with a heartbeat. */
  public enum Problem {
    /** The body is not one whole object. */
    UNREADABLE,
    /** A field is missing, of another type, or out of its range. */
    BAD_FIELD,
    /** The state is none of those that are known. */
    UNKNOWN_STATE,
    /** The service is another one than that of the worker on this box. */
    OTHER_SERVICE
  }
}
