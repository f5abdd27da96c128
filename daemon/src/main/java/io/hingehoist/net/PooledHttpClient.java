package io.hingehoist.net;

import io.hingehoist.wire.Addresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Calls one address by HTTP/1.1 on kept connections, one call at a time on each. Owned by the event
 * loop.
 */
public final class PooledHttpClient implements AutoCloseable {
  private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

  /**
   * A call.
   *
   * @param instance the life of the called process that is meant; empty for any
   * @param timeoutMs the time for the answer; its connection is closed then
   * @param fresh whether a new connection is opened for it though one is kept
   */
  public record Call(
      String method, String path, String instance, byte[] body, long timeoutMs, boolean fresh) {}

  private record Waiting(Call call, Consumer<HttpResult> replies) {}

  private final EventLoop loop;
  private final String address;
  private final String ownAddress;
  private final String instanceHeader;
  private final int maxConnections;
  private final Deque<Connection> idle = new ArrayDeque<>();
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private int connections;
  private boolean closed;

  private PooledHttpClient(
      EventLoop loop,
      String address,
      String ownAddress,
      String instanceHeader,
      int maxConnections) {
    this.loop = loop;
    this.address = address;
    this.ownAddress = ownAddress;
    this.instanceHeader = instanceHeader;
    this.maxConnections = maxConnections;
  }

  /**
   * Creates a caller without connections.
   *
   * @param ownAddress the address whose IP number the connections come from
   * @param instanceHeader the header that names the life that a call is meant for
   */
  public static PooledHttpClient create(
      EventLoop loop,
      String address,
      String ownAddress,
      String instanceHeader,
      int maxConnections) {
    return new PooledHttpClient(loop, address, ownAddress, instanceHeader, maxConnections);
  }

  /** Makes a call; the reply comes once, on the event loop. */
  public void call(Call call, Consumer<HttpResult> replies) {
    waiting.add(new Waiting(call, replies));
    serveWaiting();
  }

  private void serveWaiting() {
    while (!waiting.isEmpty()) {
      boolean fresh = waiting.peek().call().fresh() && connections < maxConnections;
      Connection connection = fresh ? null : idle.poll();
      if (connection != null && !connection.channel.isActive()) {
        continue;
      }
      if (connection == null && connections >= maxConnections) {
        return;
      }
      Waiting next = waiting.remove();
      if (connection != null) {
        connection.send(next);
      } else {
        connect(next);
      }
    }
  }

  private void connect(Waiting first) {
    connections++;
    Connection connection = new Connection();
    new Bootstrap()
        .group(loop.group())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) first.call().timeoutMs())
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                connection.channel = channel;
                channel
                    .pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                    .addLast(connection);
              }
            })
        .localAddress(new InetSocketAddress(Addresses.toSocketAddress(ownAddress).getAddress(), 0))
        .connect(Addresses.toSocketAddress(address))
        .addListener(
            done -> {
              if (done.isSuccess()) {
                connection.send(first);
              } else {
                connections--;
                boolean refused =
                    done.cause() instanceof ConnectException && !isTimeout(done.cause());
                first
                    .replies()
                    .accept(
                        refused ? new HttpResult.ConnectionRefused() : new HttpResult.Unanswered());
                serveWaiting();
              }
            });
  }

  private static boolean isTimeout(Throwable cause) {
    return cause instanceof io.netty.channel.ConnectTimeoutException;
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private Optional<Waiting> open = Optional.empty();

    /**
     * Calls the time-out of the open call off. A timer for each answered call would wake a host
     * some 70 times a second, one time in five, at 30 task starts a second.
     */
    private Runnable callOffTimeout = () -> {};

    private void send(Waiting next) {
      open = Optional.of(next);
      channel.writeAndFlush(toRequest(next.call()), channel.voidPromise());
      callOffTimeout = loop.schedule(channel::close, next.call().timeoutMs());
    }

    /** Returns the call that was open, if one was; there is none any more. */
    private Optional<Waiting> takeOpen() {
      Optional<Waiting> taken = open;
      open = Optional.empty();
      callOffTimeout.run();
      return taken;
    }

    private DefaultFullHttpRequest toRequest(Call call) {
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(call.method()),
              call.path(),
              Unpooled.wrappedBuffer(call.body()));
      request.headers().set(HttpHeaderNames.HOST, address);
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
      if (!call.instance().isEmpty()) {
        request.headers().set(instanceHeader, call.instance());
      }
      return request;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Optional<Waiting> answered = takeOpen();
      if (answered.isEmpty()) {
        context.close();
        return;
      }
      byte[] body = new byte[response.content().readableBytes()];
      response.content().readBytes(body);
      boolean kept = HttpUtil.isKeepAlive(response) && !closed;
      if (kept) {
        idle.push(this);
      }
      reply(answered.get(), new HttpResult.Answered(response.status().code(), body));
      if (!kept) {
        context.close();
      }
      serveWaiting();
    }

    private void reply(Waiting answered, HttpResult reply) {
      try {
        answered.replies().accept(reply);
      } catch (RuntimeException | Error e) {
        loop.fail(e);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections--;
      idle.remove(this);
      takeOpen().ifPresent(lost -> reply(lost, new HttpResult.Unanswered()));
      serveWaiting();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** Closes every connection; calls that wait are answered as unanswered. */
  @Override
  public void close() {
    closed = true;
    idle.forEach(connection -> connection.channel.close());
    idle.clear();
  }
}
