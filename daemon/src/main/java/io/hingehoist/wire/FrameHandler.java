package io.hingehoist.wire;

import io.hingehoist.message.Message;

/** Handles the events of a {@link FrameConnection}. Called on its reader thread. */
public interface FrameHandler {

  /** Called for each message. It must not block for long, as it delays later messages. */
  void onMessage(FrameConnection connection, Message message);

  /** Called once, when the connection has closed. */
  void onClosed(FrameConnection connection);
}
