package io.hingehoist.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Static helpers that open addresses. */
final class Listeners {
  private Listeners() {}

  static Channel bind(ServerBootstrap bootstrap, InetSocketAddress address) throws IOException {
    ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("can't open " + address + ": " + bound.cause(), bound.cause());
    }
    return bound.channel();
  }
}
