package io.hingehoist.net;

/** What became of an HTTP call that this process made. */
public sealed interface HttpResult {

  /** A whole answer came. */
  record Answered(int status, byte[] body) implements HttpResult {}

  /** Nobody listens at the address; nothing was done. */
  record ConnectionRefused() implements HttpResult {}

  /** No answer came in time, or the connection broke: the call may have been carried out. */
  record Unanswered() implements HttpResult {}
}
