package io.hingehoist.net;

import io.hingehoist.wire.Addresses;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;

/** An HTTP/1.1 server on one address. Not thread-safe: confined to the event loop. */
public final class HttpServer implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  /**
   * The size of a connection's receive buffer. Bytes that have arrived and are not read count as
   * memory of the process.
   */
  static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

  /** The size of a connection's send buffer. */
  private static final int SEND_BUFFER_BYTES = 64 * 1024;

  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2 * 1024;

  /** Bounds what is decoded before the limits of the connection are checked. */
  private static final int MAX_READ_BYTES = 16 * 1024;

  /** A response is unsent as soon as the socket does not accept all of it. */
  private static final WriteBufferWaterMark NOTHING_UNSENT = new WriteBufferWaterMark(1, 1);

  /** Netty's default; bounds the time for which one connection delays the others. */
  private static final int MAX_READS_PER_ITERATION = 16;

  private final Channel listener;
  private final int maxBodyBytes;
  private final HttpHandler handler;
  private boolean closesConnections;
  private int openExchanges;

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
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, NOTHING_UNSENT)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    HttpConnection.install(channel, HttpServer.this, loop);
                  }
                });
    this.listener = Listeners.bind(bootstrap, Addresses.toSocketAddress(address));
  }

  /**
   * Opens a server, whose connections share the limits of the loop with those of its other servers.
   *
   * @param maxBodyBytes the maximum size of a body; a larger one is refused with status 413
   * @throws IOException if the address can't be opened
   */
  public static HttpServer open(
      EventLoop loop, String address, int maxBodyBytes, HttpHandler handler) throws IOException {
    return new HttpServer(loop, address, maxBodyBytes, handler);
  }

  /**
   * Returns an allocator with which a socket is read until it is empty, up to a limit. By default,
   * the end of a connection is read in a later iteration of the loop than a request before it,
   * which would be handled for a caller that has already disconnected.
   */
  private static RecvByteBufAllocator readUntilEmpty() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_PER_ITERATION);
  }

  int maxBodyBytes() {
    return maxBodyBytes;
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
