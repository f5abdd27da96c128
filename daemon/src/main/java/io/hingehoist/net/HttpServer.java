package io.hingehoist.net;

import io.hingehoist.wire.Addresses;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;

/** An HTTP/1.1 server on one address. Not thread-safe: confined to the event loop. */
public final class HttpServer implements AutoCloseable {
  private static final int BACKLOG = 1_024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  /** Netty's default; bounds the time for which one connection delays the others. */
  private static final int MAX_READS_PER_ITERATION = 16;

  private final Channel listener;
  private final int maxBodyBytes;
  private final BodyBudget bodyBudget;
  private final HttpHandler handler;
  private boolean closesConnections;
  private int openExchanges;

  private HttpServer(
      EventLoop loop, String address, int maxBodyBytes, BodyBudget bodyBudget, HttpHandler handler)
      throws IOException {
    this.maxBodyBytes = maxBodyBytes;
    this.bodyBudget = bodyBudget;
    this.handler = handler;
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop.group())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
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
   * @param maxBodyBytes the maximum size of a body; a larger one is read to its end and refused
   *     with status 413
   * @throws IOException if the address can't be opened
   */
  public static HttpServer open(
      EventLoop loop, String address, int maxBodyBytes, HttpHandler handler) throws IOException {
    return open(loop, address, maxBodyBytes, Long.MAX_VALUE, handler);
  }

  /**
   * Opens a server that bounds the memory for bodies.
   *
   * @param maxBodyBytes the maximum size of a body; a larger one is read to its end and refused
   *     with status 413
   * @param maxHeldBytes the maximum total size of the bodies that are being received or await their
   *     response; a request beyond it is read to its end and refused with status 503
   * @throws IOException if the address can't be opened
   */
  public static HttpServer open(
      EventLoop loop, String address, int maxBodyBytes, long maxHeldBytes, HttpHandler handler)
      throws IOException {
    return new HttpServer(loop, address, maxBodyBytes, BodyBudget.of(maxHeldBytes), handler);
  }

  /**
   * Returns an allocator with which a socket is read until it is empty, up to a limit. By default,
   * the end of a connection is read in a later iteration of the loop than a request before it,
   * which would be handled for a caller that has already disconnected.
   */
  private static RecvByteBufAllocator readUntilEmpty() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_PER_ITERATION);
  }

  int maxBodyBytes() {
    return maxBodyBytes;
  }

  BodyBudget bodyBudget() {
    return bodyBudget;
  }

  void handle(HttpExchange exchange) {
    openExchanges++;
    handler.handle(exchange);
  }

  /** Called when a request was answered, aborted, or its caller has disconnected. */
  void exchangeEnded() {
    openExchanges--;
  }

  boolean closesConnections() {
    return closesConnections;
  }

  /** Returns the number of requests without a response. */
  public int openExchanges() {
    return openExchanges;
  }

  /** Closes each connection after its next response, so that callers connect to other boxes. */
  public void closeAfterResponses() {
    closesConnections = true;
  }

  /** Stops accepting connections; open ones are kept. */
  @Override
  public void close() {
    listener.close();
  }
}
