package io.hingehoist.net;

import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.Addresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Keeps a connection to one address open, and opens it anew when it breaks or nothing is heard on
 * it. Owned by the event loop.
 */
public final class PeerLink implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final long RETRY_PAUSE_MS = 100;

  /** After a connection that soon fell silent, the next one is given twice the time, up to this. */
  private static final int MAX_PATIENCE = 4;

  /**
   * The life after which a connection that falls silent says nothing of the peer. A process that
   * stands still or is far too slow says little on each, and new ones cost it more.
   */
  private static final long STEADY_MS = 1_000;

  private final EventLoop loop;
  private final String address;
  private final String ownAddress;
  private final Supplier<Hello> hello;
  private final PeerHandler handler;
  private final Metrics metrics;
  private final SilenceDetector watch = SilenceDetector.create(EventLoop.nowMs());
  private long silentAfterMs;
  private int patience = 1;
  private long replacedHeardAtMs;
  private Optional<PeerChannel> current = Optional.empty();
  private boolean connecting;
  private boolean closed;

  private PeerLink(
      EventLoop loop,
      String address,
      String ownAddress,
      long silentAfterMs,
      Supplier<Hello> hello,
      PeerHandler handler,
      Metrics metrics) {
    this.loop = loop;
    this.address = address;
    this.ownAddress = ownAddress;
    this.silentAfterMs = silentAfterMs;
    this.hello = hello;
    this.handler = handler;
    this.metrics = metrics;
  }

  /**
   * Opens a link.
   *
   * @param ownAddress the address whose IP number the connections come from
   * @param silentAfterMs the time without a frame after which a connection is replaced
   * @param hello makes the first message of each connection
   */
  public static PeerLink open(
      EventLoop loop,
      String address,
      String ownAddress,
      long silentAfterMs,
      Supplier<Hello> hello,
      PeerHandler handler,
      Metrics metrics) {
    PeerLink link = new PeerLink(loop, address, ownAddress, silentAfterMs, hello, handler, metrics);
    link.connect();
    return link;
  }

  /** Returns the address that the link leads to. */
  public String address() {
    return address;
  }

  /** Returns the open connection, if there is one. */
  public Optional<PeerChannel> channel() {
    return current;
  }

  /** Sends a message; returns whether it may arrive. */
  public boolean send(Message message) {
    return current.isPresent() && current.get().send(message);
  }

  /** Sets the time without a frame after which a connection is replaced from now on. */
  public void replaceAfterSilenceOf(long newSilentAfterMs) {
    silentAfterMs = newSilentAfterMs;
  }

  /** Replaces a connection on which nothing is heard. Called at short intervals. */
  public void onTick(long nowMs) {
    watch.onTick(nowMs);
    current
        .filter(channel -> watch.isSilent(channel.heardAtMs(), silentAfterMs()))
        .ifPresent(channel -> replace());
  }

  /** Returns the time without a word after which the open connection is to be replaced. */
  public long silentAfterMs() {
    boolean steady = current.filter(PeerLink::isSteady).isPresent();
    return steady ? silentAfterMs : patience * silentAfterMs;
  }

  private static boolean isSteady(PeerChannel channel) {
    return channel.heardForMs() >= STEADY_MS;
  }

  /**
   * Opens another connection in place of the one that is open. That one is closed only then: on a
   * link that loses packets it may speak again before a new one is open, which is given up instead.
   */
  public void replace() {
    replacedHeardAtMs = current.map(PeerChannel::heardAtMs).orElse(0L);
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
                PeerChannel.install(channel, new Greeting(), metrics, loop);
              }
            })
        .localAddress(new InetSocketAddress(Addresses.toSocketAddress(ownAddress).getAddress(), 0))
        .connect(Addresses.toSocketAddress(address))
        .addListener(
            done -> {
              connecting = false;
              if (!done.isSuccess()) {
                failed(done.cause());
              }
            });
  }

  private void failed(Throwable cause) {
    if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
      handler.onRefused();
    }
    if (current.isEmpty()) {
      retryLater();
    }
  }

  private void retryLater() {
    if (!closed) {
      loop.schedule(this::connectIfNone, RETRY_PAUSE_MS);
    }
  }

  private void connectIfNone() {
    if (current.isEmpty()) {
      connect();
    }
  }

  private final class Greeting implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {
      boolean speaksAgain =
          current.filter(former -> former.heardAtMs() > replacedHeardAtMs).isPresent();
      if (closed || speaksAgain) {
        channel.close();
        return;
      }
      current.ifPresent(this::end);
      current = Optional.of(channel);
      channel.send(hello.get());
      handler.onOpen(channel);
    }

    private void end(PeerChannel former) {
      patience = isSteady(former) ? 1 : Math.min(MAX_PATIENCE, 2 * patience);
      current = Optional.empty();
      handler.onClosed(former);
      former.close();
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
      // A process that was heard is likely there; one that ended refuses the connection.
      if (channel.wasHeard()) {
        loop.execute(PeerLink.this::connectIfNone);
      } else {
        retryLater();
      }
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
