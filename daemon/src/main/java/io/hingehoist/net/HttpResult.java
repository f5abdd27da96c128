package io.hingehoist.net;

/** The result of an HTTP request that this process sent. */
public sealed interface HttpResult {

  /** A complete response was received. */
  record Answered(int status, byte[] body) implements HttpResult {}

  /** The connection was refused, so the request was not carried out. */
  record ConnectionRefused() implements HttpResult {}

  /** The request timed out or the connection broke, so it may have been carried out. */
  record Unanswered() implements HttpResult {}
}
