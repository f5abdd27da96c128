package io.hingehoist.wire;

import io.hingehoist.message.Message;

/** Where messages to one peer go. Thread-safe. */
public interface MessageSink {

  /** Queues a message; returns whether it may arrive. */
  boolean send(Message message);

  /** Returns whether messages can still be sent. */
  boolean isOpen();
}
