package io.hingehoist.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;

/** Static helpers that end connections by a reset. */
final class Resets {
  private Resets() {}

  /** Resets a connection, so that nothing that a cut holds up is delivered afterwards. */
  static void reset(Channel channel) {
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      // The connection is closed already, and the loop has not heard of it yet.
    }
    channel.close();
  }
}
