package io.hingehoist.entry;

/**
 * Thrown when a field of a request is invalid; the message names the field, its value and the
 * allowed range.
 */
final class InvalidFieldException extends RuntimeException {
  InvalidFieldException(String field, Object value, String allowed) {
    super("%s: value \"%s\" is not allowed; allowed: %s".formatted(field, value, allowed));
  }
}
