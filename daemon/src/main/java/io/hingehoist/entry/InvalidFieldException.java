package io.hingehoist.entry;

/** Says which field of a request's body is wrong, its value, and what is allowed. */
final class InvalidFieldException extends RuntimeException {
  InvalidFieldException(String field, Object value, String allowed) {
    super("%s: value \"%s\" is not allowed; allowed: %s".formatted(field, value, allowed));
  }
}
