package io.hingehoist.net;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.Hello;
import io.hingehoist.message.KeepAlive;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.wire.FrameConnection;
import io.hingehoist.wire.MessageSink;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A connection to another hingehoist process, with the frames of {@link
 * io.hingehoist.wire.FrameConnection}. Not thread-safe: confined to the event loop.
 *
 * <p>A frame that can't be decoded is counted and closes the connection. If the peer reads so
 * slowly that too many bytes are unsent, the connection is closed, and the peer has to reconnect
 * and catch up.
 */
public final class PeerChannel implements MessageSink {
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_UNSENT_BYTES = 8 * 1024 * 1024;
  private static final int MAX_UNFLUSHED_MESSAGES = 64;
  private static final AtomicLong NEXT_ID = new AtomicLong();

  private final long id = NEXT_ID.incrementAndGet();
  private final Channel channel;
  private final Metrics metrics;
  private final Queue<Runnable> pendingConfirmations = new ArrayDeque<>();
  private final long openedAtMs = EventLoop.nowMs();
  private long lastReceivedAtMs = openedAtMs;

  private PeerChannel(Channel channel, Metrics metrics) {
    this.channel = channel;
    this.metrics = metrics;
  }

  /** Adds the handlers of frames to a new connection, whose messages go to a handler. */
  static void install(Channel channel, PeerHandler handler, Metrics metrics, EventLoop loop) {
    channel.config().setOption(ChannelOption.TCP_NODELAY, true);
    channel
        .config()
        .setOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES));
    PeerChannel peer = new PeerChannel(channel, metrics);
    channel
        .pipeline()
        .addLast(new FlushConsolidationHandler(MAX_UNFLUSHED_MESSAGES, true))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                FrameConnection.MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(peer.new Receiver(handler, loop));
  }

  /** Returns an id that is unique among the connections of this process. */
  public long id() {
    return id;
  }

  /** Returns when the last frame was received, or if none was, when the connection was opened. */
  public long lastReceivedAtMs() {
    return lastReceivedAtMs;
  }

  /** Returns the time from the opening of the connection to the last received frame. */
  long activeForMs() {
    return lastReceivedAtMs - openedAtMs;
  }

  /** Returns the time since the connection was opened. */
  long openForMs() {
    return EventLoop.nowMs() - openedAtMs;
  }

  @Override
  public boolean isOpen() {
    return channel.isActive();
  }

  @Override
  public boolean send(Message message) {
    if (!channel.isActive()) {
      return false;
    }
    if (!channel.isWritable()) {
      close();
      return false;
    }
    Bytes body = message.toBytes();
    ByteBuf frame = channel.alloc().buffer(LENGTH_BYTES + body.size());
    frame.writeInt(body.size());
    frame.writeBytes(body.asByteBuffer());
    metrics.countSent(message, body.size());
    channel.writeAndFlush(frame, channel.voidPromise());
    return true;
  }

  /**
   * Sends a request that the peer answers at once, and runs an action when the answer arrives. The
   * answer proves that the peer has read from this connection after this call.
   */
  public void confirmOpen(Runnable onConfirmed) {
    if (send(new KeepAlive(true))) {
      pendingConfirmations.add(onConfirmed);
    }
  }

  private void handleConfirmation() {
    Runnable action = pendingConfirmations.poll();
    if (action != null) {
      action.run();
    }
  }

  /** Resets the connection; unsent messages are dropped, and late ones are not read. */
  public void close() {
    Resets.reset(channel);
  }

  private final class Receiver extends ChannelInboundHandlerAdapter {
    private final PeerHandler handler;
    private final EventLoop loop;

    /** The account of the connection if the peer has opened it. */
    private Optional<MessageMeter> meter = Optional.empty();

    private Receiver(PeerHandler handler, EventLoop loop) {
      this.handler = handler;
      this.loop = loop;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      meter = Optional.ofNullable(context.pipeline().get(MessageMeter.class));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      reportingErrors(() -> handler.onOpen(PeerChannel.this));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      reportingErrors(() -> handler.onClosed(PeerChannel.this));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object frame) {
      ByteBuf buffer = (ByteBuf) frame;
      byte[] body = new byte[buffer.readableBytes()];
      buffer.readBytes(body);
      buffer.release();
      meter.ifPresent(m -> m.messageEnded(LENGTH_BYTES + body.length));
      lastReceivedAtMs = EventLoop.nowMs();
      try {
        Message message = Message.fromBytes(Bytes.copyOf(body));
        metrics.countReceived(message, body.length);
        if (message instanceof Hello hello) {
          meter.ifPresent(m -> m.recordMember(hello));
        }
        reportingErrors(() -> handleMessage(message));
      } catch (IOException e) {
        metrics.countBadFrame();
        close();
      }
    }

    private void handleMessage(Message message) {
      switch (message) {
        case KeepAlive keepAlive when keepAlive.asks() -> send(new KeepAlive(false));
        case KeepAlive answer -> handleConfirmation();
        default -> handler.onMessage(PeerChannel.this, message);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      close();
    }

    private void reportingErrors(Runnable action) {
      try {
        action.run();
      } catch (RuntimeException | Error e) {
        loop.reportFatal(e);
      }
    }
  }
}
