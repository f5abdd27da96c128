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
 * An HTTP/1.1 client for one address. It keeps connections alive and sends one request at a time on
 * each. Not thread-safe: confined to the event loop.
 */
public final class PooledHttpClient implements AutoCloseable {
  private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

  /**
   * A request to send.
   *
   * @param instance the instance of the called process that the request is for; empty for any
   * @param timeoutMs the timeout of the response, after which the connection is reset
   * @param newConnection whether to open a new connection even if an idle one is available
   */
  public record Call(
      String method,
      String path,
      String instance,
      byte[] body,
      long timeoutMs,
      boolean newConnection) {}

  private record PendingCall(Call call, Consumer<HttpResult> results) {}

  private final EventLoop loop;
  private final String address;
  private final String ownAddress;
  private final String instanceHeader;
  private final int maxConnections;
  private final Deque<Connection> idle = new ArrayDeque<>();
  private final Deque<PendingCall> waiting = new ArrayDeque<>();
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
   * Creates a client without connections.
   *
   * @param ownAddress the address with the source IP address of connections
   * @param instanceHeader the header that names the instance that a request is for
   */
  public static PooledHttpClient create(
      EventLoop loop,
      String address,
      String ownAddress,
      String instanceHeader,
      int maxConnections) {
    return new PooledHttpClient(loop, address, ownAddress, instanceHeader, maxConnections);
  }

  /** Sends a request when a connection is available; the result is passed on the event loop. */
  public void call(Call call, Consumer<HttpResult> results) {
    waiting.add(new PendingCall(call, results));
    sendWaiting();
  }

  private void sendWaiting() {
    while (!waiting.isEmpty()) {
      boolean opensNew = waiting.peek().call().newConnection() && connections < maxConnections;
      Connection connection = opensNew ? null : idle.poll();
      if (connection != null && !connection.channel.isActive()) {
        continue;
      }
      if (connection == null && connections >= maxConnections) {
        return;
      }
      PendingCall next = waiting.remove();
      if (connection != null) {
        connection.send(next);
      } else {
        connect(next);
      }
    }
  }

  private void connect(PendingCall first) {
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
                connection.meter = new MessageMeter(loop.responses(), channel);
                channel
                    .pipeline()
                    .addLast(connection.meter)
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
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
                    .results()
                    .accept(
                        refused ? new HttpResult.ConnectionRefused() : new HttpResult.Unanswered());
                sendWaiting();
              }
            });
  }

  private static boolean isTimeout(Throwable cause) {
    return cause instanceof io.netty.channel.ConnectTimeoutException;
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private MessageMeter meter;
    private Optional<PendingCall> inFlight = Optional.empty();

    /**
     * Cancels the timeout of the request in flight. If the timers of answered requests kept
     * running, they would wake a host about 70 times a second at 30 task starts a second, which is
     * one wake-up in five.
     */
    private Runnable cancelTimeout = () -> {};

    private void send(PendingCall next) {
      inFlight = Optional.of(next);
      channel.writeAndFlush(toRequest(next.call()), channel.voidPromise());
      cancelTimeout = loop.schedule(() -> Resets.reset(channel), next.call().timeoutMs());
    }

    /** Removes and returns the request in flight, if there is one. */
    private Optional<PendingCall> removeInFlight() {
      Optional<PendingCall> removed = inFlight;
      inFlight = Optional.empty();
      cancelTimeout.run();
      return removed;
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
      meter.messageEnded(meter.heldBytes());
      Optional<PendingCall> answered = removeInFlight();
      if (answered.isEmpty()) {
        context.close();
        return;
      }
      byte[] body = new byte[response.content().readableBytes()];
      response.content().readBytes(body);
      boolean keepAlive = HttpUtil.isKeepAlive(response) && !closed;
      if (keepAlive) {
        idle.push(this);
      }
      complete(answered.get(), new HttpResult.Answered(response.status().code(), body));
      if (!keepAlive) {
        context.close();
      }
      sendWaiting();
    }

    private void complete(PendingCall call, HttpResult result) {
      try {
        call.results().accept(result);
      } catch (RuntimeException | Error e) {
        loop.reportFatal(e);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections--;
      idle.remove(this);
      removeInFlight().ifPresent(lost -> complete(lost, new HttpResult.Unanswered()));
      sendWaiting();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** Closes all idle connections, and every other one after its response. */
  @Override
  public void close() {
    closed = true;
    idle.forEach(connection -> connection.channel.close());
    idle.clear();
  }
}
