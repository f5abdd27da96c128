package io.hingehoist.client;

/** Thrown when no leader answered in time. The request may or may not have been applied. */
public final class ControlUnavailableException extends RuntimeException {
  ControlUnavailableException(String message) {
    super(message);
  }
}
