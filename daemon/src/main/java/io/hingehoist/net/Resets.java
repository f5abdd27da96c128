package io.hingehoist.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;

/** Static helpers that reset connections. */
final class Resets {
  private Resets() {}

  /**
   * Resets a connection, so that nothing delayed by a network partition is delivered afterwards.
   */
  static void reset(Channel channel) {
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      // The connection is already closed, but the event loop has not processed that yet.
    }
    channel.close();
  }
}
