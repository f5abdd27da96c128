package io.hingehoist.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Tells a connection what each read brings, before and after it is decoded. */
final class ReadMeter extends ChannelInboundHandlerAdapter {
  private final HttpConnection connection;

  ReadMeter(HttpConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object bytes) {
    int count = ((ByteBuf) bytes).readableBytes();
    if (connection.discards()) {
      ReferenceCountUtil.release(bytes);
      connection.discard(count);
      return;
    }
    connection.beforeRead(count);
    context.fireChannelRead(bytes);
    connection.afterRead();
  }
}
