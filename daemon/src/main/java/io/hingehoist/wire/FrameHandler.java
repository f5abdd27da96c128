package io.hingehoist.wire;

import io.hingehoist.message.Message;

/** Takes what a {@link FrameConnection} brings, on that connection's reader thread. */
public interface FrameHandler {

  /** Takes a message. It must not block for long: the messages after it wait. */
  void onMessage(FrameConnection connection, Message message);

  /** Notes that the connection is closed. Called once. */
  void onClosed(FrameConnection connection);
}
