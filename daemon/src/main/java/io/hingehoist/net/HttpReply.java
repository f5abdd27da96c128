package io.hingehoist.net;

/** What became of an HTTP call that this process made. */
public sealed interface HttpReply {

  /** A whole answer came. */
  record Answered(int status, byte[] body) implements HttpReply {}

  /** Nobody listens at the address; nothing was done. */
  record NobodyThere() implements HttpReply {}

  /** No answer came in time, or the connection broke: the call may have been carried out. */
  record Unanswered() implements HttpReply {}
}
