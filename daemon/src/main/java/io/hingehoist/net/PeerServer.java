package io.hingehoist.net;

import io.hingehoist.limits.ConnectionLimiter;
import io.hingehoist.limits.ConnectionReports;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.Addresses;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.function.Supplier;

/** Accepts connections of other hingehoist processes on one address. Thread-safe. */
public final class PeerServer implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  private final Channel listener;
  private final ConnectionReports reports;

  private PeerServer(Channel listener, ConnectionReports reports) {
    this.listener = listener;
    this.reports = reports;
  }

  /**
   * Opens a server.
   *
   * @param handlers supplies a handler for each new connection
   * @throws IOException if the address can't be opened
   */
  public static PeerServer open(
      EventLoop loop, String address, Supplier<PeerHandler> handlers, Metrics metrics)
      throws IOException {
    ConnectionLimiter limiter = ConnectionLimiter.of(loop.peers());
    ConnectionReports reports = loop.report(limiter, "peer", metrics);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop.group())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new MessageMeter(limiter, channel));
                    PeerChannel.install(channel, handlers.get(), metrics, loop);
                  }
                });
    return new PeerServer(Listeners.bind(bootstrap, Addresses.toSocketAddress(address)), reports);
  }

  /** Records how many connections the known processes of the deployment open to this server. */
  public void recordNeeded(int connections) {
    reports.recordNeeded(connections);
  }

  @Override
  public void close() {
    listener.close();
  }
}
