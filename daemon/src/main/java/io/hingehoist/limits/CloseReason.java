package io.hingehoist.limits;

import java.util.Locale;

/** Why a connection of a caller was refused or closed before its time. */
public enum CloseReason {
  /** The connections together hold too much memory. */
  HELD_BYTES,
  /** There are too many connections. */
  CONNECTIONS,
  /** The body of a request is too large. */
  BODY_TOO_LARGE,
  /** The head of a request took too long. */
  HEADER_TIMEOUT,
  /** Nothing was sent or read for too long. */
  IDLE_TIMEOUT;

  /** Returns the name in metrics and logs. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
