package io.hingehoist.net;

import io.hingehoist.wire.Addresses;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;

/** Serves HTTP/1.1 on one address. Owned by the event loop. */
public final class HttpServer implements AutoCloseable {
  private static final int BACKLOG = 1_024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  private final Channel listener;
  private final int maxBodyBytes;
  private final HttpHandler handler;
  private boolean closesConnections;
  private int openCalls;

  private HttpServer(EventLoop loop, String address, int maxBodyBytes, HttpHandler handler)
      throws IOException {
    this.maxBodyBytes = maxBodyBytes;
    this.handler = handler;
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop.group())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(
                                new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)))
                        .addLast(new HttpConnection(HttpServer.this, loop));
                  }
                });
    this.listener = Listeners.bind(bootstrap, Addresses.toSocketAddress(address));
  }

  /**
   * Opens a server.
   *
   * @param maxBodyBytes the largest body; a larger one is read to its end and answered with 413
   * @throws IOException if the address can't be opened
   */
  public static HttpServer open(
      EventLoop loop, String address, int maxBodyBytes, HttpHandler handler) throws IOException {
    return new HttpServer(loop, address, maxBodyBytes, handler);
  }

  int maxBodyBytes() {
    return maxBodyBytes;
  }

  void handle(HttpExchange call) {
    openCalls++;
    handler.handle(call);
  }

  void callOver() {
    openCalls--;
  }

  boolean closesConnections() {
    return closesConnections;
  }

  /** Returns the number of requests that have no answer yet. */
  public int openCalls() {
    return openCalls;
  }

  /** Closes each connection after its next answer, so that callers turn to other boxes. */
  public void closeAfterAnswers() {
    closesConnections = true;
  }

  /** Takes no new connections; those that are open go on. */
  @Override
  public void close() {
    listener.close();
  }
}
