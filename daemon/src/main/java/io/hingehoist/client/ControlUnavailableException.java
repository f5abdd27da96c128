package io.hingehoist.client;

/** Says that no leader answered in time. What was asked for may or may not have happened. */
public final class ControlUnavailableException extends RuntimeException {
  ControlUnavailableException(String message) {
    super(message);
  }
}
