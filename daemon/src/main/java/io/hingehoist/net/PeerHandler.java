package io.hingehoist.net;

import io.hingehoist.message.Message;

/** Takes what a {@link PeerChannel} brings, on the event loop. */
public interface PeerHandler {

  /** Notes that a connection is open. */
  void onOpen(PeerChannel channel);

  /** Takes a message. */
  void onMessage(PeerChannel channel, Message message);

  /** Notes that a connection is closed. Called once for each that was open. */
  void onClosed(PeerChannel channel);

  /**
   * Notes that nobody listens at the address of a {@link PeerLink}: the process that did has ended.
   */
  default void onRefused() {}
}
