package io.hingehoist.wire;

import io.hingehoist.message.Message;

/** The sending end of a connection to one peer. Thread-safe. */
public interface MessageSink {

  /** Queues a message; returns false if it is dropped. True does not guarantee delivery. */
  boolean send(Message message);

  /** Returns whether messages can still be sent. */
  boolean isOpen();
}
