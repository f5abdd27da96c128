package io.hingehoist.net;

import io.hingehoist.limits.CloseReason;
import io.hingehoist.limits.ConnectionLimiter;
import io.hingehoist.limits.LimitedConnection;
import io.hingehoist.message.Hello;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Accounts for the unfinished message that a connection with another process, or with a worker, is
 * receiving. Not thread-safe: confined to the event loop.
 */
final class MessageMeter extends ChannelInboundHandlerAdapter implements LimitedConnection {
  private final ConnectionLimiter limiter;
  private final Channel channel;
  private long heldBytes;

  MessageMeter(ConnectionLimiter limiter, Channel channel) {
    this.limiter = limiter;
    this.channel = channel;
    channel.closeFuture().addListener(closed -> limiter.remove(this));
    if (!limiter.add(this)) {
      channel.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object bytes) {
    hold(heldBytes + ((ByteBuf) bytes).readableBytes());
    context.fireChannelRead(bytes);
    limiter.enforceHeldBytes();
  }

  /** Records that a message is complete; only what has arrived after it is held. */
  void messageEnded(long messageBytes) {
    limiter.recordRequest(this);
    hold(Math.max(0, heldBytes - messageBytes));
  }

  /** Records which process the connection belongs to. */
  void recordMember(Hello hello) {
    limiter.recordMember(this, hello.role() + " " + hello.nodeId());
  }

  private void hold(long bytes) {
    limiter.recordHeld(this, bytes - heldBytes);
    heldBytes = bytes;
  }

  @Override
  public Stage stage() {
    return Stage.RECEIVING;
  }

  @Override
  public long heldBytes() {
    return heldBytes;
  }

  @Override
  public long releasableBytes() {
    return heldBytes;
  }

  @Override
  public void giveWay() {
    close(CloseReason.HELD_BYTES);
  }

  @Override
  public void close(CloseReason reason) {
    limiter.recordClose(reason);
    limiter.remove(this);
    Resets.reset(channel);
  }

  /** There is no time limit; the user of the connection detects its silence. */
  @Override
  public void checkTimeouts(long nowMs) {}
}
