package io.hingehoist.net;

import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.Addresses;
import io.hingehoist.wire.ReconnectDelay;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Keeps a connection to one address open, and replaces it when it breaks or falls silent. Not
 * thread-safe: confined to the event loop.
 */
public final class PeerLink implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 400;

  /**
   * The limit of the factor of the silence timeout, which doubles after each connection that fell
   * silent early.
   */
  private static final int MAX_TIMEOUT_FACTOR = 4;

  /**
   * The time for which a connection must have carried messages to count as steady. The silence of a
   * steady connection does not indicate a slow peer. A peer that is stalled or overloaded sends
   * little on every connection, and new connections add to its load.
   */
  private static final long STEADY_AFTER_MS = 1_000;

  private final EventLoop loop;
  private final String address;
  private final String ownAddress;
  private final Supplier<Hello> hello;
  private final PeerHandler handler;
  private final Metrics metrics;
  private final ReconnectDelay reconnectDelay = ReconnectDelay.create(new Random());
  private final SilenceDetector silenceDetector = SilenceDetector.create(EventLoop.nowMs());
  private long silenceTimeoutMs;
  private int timeoutFactor = 1;
  private long replacedLastReceivedAtMs;
  private Optional<PeerChannel> current = Optional.empty();
  private boolean connecting;
  private boolean closed;

  private PeerLink(
      EventLoop loop,
      String address,
      String ownAddress,
      long silenceTimeoutMs,
      Supplier<Hello> hello,
      PeerHandler handler,
      Metrics metrics) {
    this.loop = loop;
    this.address = address;
    this.ownAddress = ownAddress;
    this.silenceTimeoutMs = silenceTimeoutMs;
    this.hello = hello;
    this.handler = handler;
    this.metrics = metrics;
  }

  /**
   * Opens a link.
   *
   * @param ownAddress the address with the source IP address of connections
   * @param silenceTimeoutMs the time without a received frame after which a connection is replaced
   * @param hello supplies the first message on each connection
   */
  public static PeerLink open(
      EventLoop loop,
      String address,
      String ownAddress,
      long silenceTimeoutMs,
      Supplier<Hello> hello,
      PeerHandler handler,
      Metrics metrics) {
    PeerLink link =
        new PeerLink(loop, address, ownAddress, silenceTimeoutMs, hello, handler, metrics);
    link.connect();
    return link;
  }

  /** Returns the address that the link connects to. */
  public String address() {
    return address;
  }

  /** Returns the open connection, if there is one. */
  public Optional<PeerChannel> channel() {
    return current;
  }

  /** Sends a message if a connection is open; returns false if the message is dropped. */
  public boolean send(Message message) {
    return current.isPresent() && current.get().send(message);
  }

  /** Sets the time without a received frame after which a connection is replaced. */
  public void setSilenceTimeoutMs(long newSilenceTimeoutMs) {
    silenceTimeoutMs = newSilenceTimeoutMs;
  }

  /** Replaces the connection if it is silent. Called at short intervals. */
  public void onTick(long nowMs) {
    silenceDetector.onTick(nowMs);
    current
        .filter(channel -> silenceDetector.isSilent(channel.lastReceivedAtMs(), silenceTimeoutMs()))
        .ifPresent(channel -> replace());
  }

  /** Returns the time without a received frame after which the open connection is replaced. */
  public long silenceTimeoutMs() {
    boolean steady = current.filter(PeerLink::isSteady).isPresent();
    return steady ? silenceTimeoutMs : timeoutFactor * silenceTimeoutMs;
  }

  private static boolean isSteady(PeerChannel channel) {
    return channel.activeForMs() >= STEADY_AFTER_MS;
  }

  /**
   * Opens a connection to replace the open one, which is closed only once the new one is open. On a
   * lossy network, the old connection may recover before that, and then the new one is closed
   * instead.
   */
  public void replace() {
    replacedLastReceivedAtMs = current.map(PeerChannel::lastReceivedAtMs).orElse(0L);
    connect();
  }

  private void connect() {
    if (closed || connecting) {
      return;
    }
    connecting = true;
    new Bootstrap()
        .group(loop.group())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                PeerChannel.install(channel, new ConnectionHandler(), metrics, loop);
              }
            })
        .localAddress(new InetSocketAddress(Addresses.toSocketAddress(ownAddress).getAddress(), 0))
        .connect(Addresses.toSocketAddress(address))
        .addListener(
            done -> {
              connecting = false;
              if (!done.isSuccess()) {
                onConnectFailed(done.cause());
              }
            });
  }

  private void onConnectFailed(Throwable cause) {
    if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
      handler.onRefused();
    }
    if (current.isEmpty()) {
      retryAfter(ReconnectDelay.RETRY_DELAY_MS);
    }
  }

  private void retryAfter(long delayMs) {
    if (!closed) {
      loop.schedule(this::connectIfClosed, delayMs);
    }
  }

  private void connectIfClosed() {
    if (current.isEmpty()) {
      connect();
    }
  }

  private final class ConnectionHandler implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {
      boolean recovered =
          current
              .filter(previous -> previous.lastReceivedAtMs() > replacedLastReceivedAtMs)
              .isPresent();
      if (closed || recovered) {
        channel.close();
        return;
      }
      current.ifPresent(this::closeReplaced);
      current = Optional.of(channel);
      channel.send(hello.get());
      handler.onOpen(channel);
    }

    private void closeReplaced(PeerChannel previous) {
      timeoutFactor = isSteady(previous) ? 1 : Math.min(MAX_TIMEOUT_FACTOR, 2 * timeoutFactor);
      current = Optional.empty();
      handler.onClosed(previous);
      previous.close();
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      if (isCurrent(channel)) {
        handler.onMessage(channel, message);
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {
      if (!isCurrent(channel)) {
        return;
      }
      current = Optional.empty();
      handler.onClosed(channel);
      retryAfter(reconnectDelay.afterClose(channel.openForMs()));
    }

    private boolean isCurrent(PeerChannel channel) {
      return current.filter(channel::equals).isPresent();
    }
  }

  @Override
  public void close() {
    closed = true;
    current.ifPresent(PeerChannel::close);
  }
}
