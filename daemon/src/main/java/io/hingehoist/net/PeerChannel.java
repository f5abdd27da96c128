package io.hingehoist.net;

import io.hingehoist.message.Bytes;
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
import java.util.concurrent.atomic.AtomicLong;

/**
 * One open connection to another hingehoist process, with the frames of {@link
 * io.hingehoist.wire.FrameConnection}. Messages are sent from the event loop.
 *
 * <p>A frame that is not a message closes the connection and is counted. So does a peer that does
 * not read: it has to catch up on a new connection.
 */
public final class PeerChannel implements MessageSink {
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_UNSENT_BYTES = 8 * 1024 * 1024;
  private static final int FLUSH_AFTER = 64;
  private static final AtomicLong NEXT_ID = new AtomicLong();

  private final long id = NEXT_ID.incrementAndGet();
  private final Channel channel;
  private final Metrics metrics;
  private final long openedAtMs = EventLoop.nowMs();
  private long heardAtMs = openedAtMs;
  private boolean heard;

  private PeerChannel(Channel channel, Metrics metrics) {
    this.channel = channel;
    this.metrics = metrics;
  }

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
        .addLast(new FlushConsolidationHandler(FLUSH_AFTER, true))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                FrameConnection.MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(peer.new Receiver(handler, loop));
  }

  /** Returns a number that no other connection of this process has. */
  public long id() {
    return id;
  }

  /** Returns when the last frame came, or when the connection was opened. */
  public long heardAtMs() {
    return heardAtMs;
  }

  /** Returns the time from the opening to the last frame. */
  long heardForMs() {
    return heardAtMs - openedAtMs;
  }

  /** Returns whether a frame has come. */
  boolean wasHeard() {
    return heard;
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

  /** Closes the connection; what is not sent yet is dropped, and what comes late is not read. */
  public void close() {
    Resets.reset(channel);
  }

  private final class Receiver extends ChannelInboundHandlerAdapter {
    private final PeerHandler handler;
    private final EventLoop loop;

    private Receiver(PeerHandler handler, EventLoop loop) {
      this.handler = handler;
      this.loop = loop;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      guarded(() -> handler.onOpen(PeerChannel.this));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      guarded(() -> handler.onClosed(PeerChannel.this));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object frame) {
      ByteBuf buffer = (ByteBuf) frame;
      byte[] body = new byte[buffer.readableBytes()];
      buffer.readBytes(body);
      buffer.release();
      heardAtMs = EventLoop.nowMs();
      heard = true;
      try {
        Message message = Message.fromBytes(Bytes.copyOf(body));
        metrics.countReceived(message, body.length);
        guarded(() -> take(message));
      } catch (IOException e) {
        metrics.countBadFrame();
        close();
      }
    }

    private void take(Message message) {
      switch (message) {
        case KeepAlive keepAlive when keepAlive.asks() -> send(new KeepAlive(false));
        case KeepAlive answer -> {}
        default -> handler.onMessage(PeerChannel.this, message);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      close();
    }

    private void guarded(Runnable action) {
      try {
        action.run();
      } catch (RuntimeException | Error e) {
        loop.fail(e);
      }
    }
  }
}
