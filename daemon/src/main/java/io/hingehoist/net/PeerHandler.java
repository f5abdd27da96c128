package io.hingehoist.net;

import io.hingehoist.message.Message;

/** Handles the events of a {@link PeerChannel}. Called on the event loop. */
public interface PeerHandler {

  /** Called when a connection has opened. */
  void onOpen(PeerChannel channel);

  /** Called for each received message. */
  void onMessage(PeerChannel channel, Message message);

  /** Called once for each opened connection, when it has closed. */
  void onClosed(PeerChannel channel);

  /**
   * Called when the address of a {@link PeerLink} refuses a connection: no process accepts
   * connections there.
   */
  default void onRefused() {}
}
