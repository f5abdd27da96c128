package io.hingehoist.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Static helpers that bind server sockets. */
final class Listeners {
  private Listeners() {}

  /** Binds a server socket and waits until it is bound. */
  static Channel bind(ServerBootstrap bootstrap, InetSocketAddress address) throws IOException {
    ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("can't bind " + address + ": " + bound.cause(), bound.cause());
    }
    return bound.channel();
  }
}
