package io.hingehoist.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * One connection of a caller: puts requests together, hands them on one after the other, and writes
 * their answers. A body that is too large is read to its end before it is refused, as a caller that
 * is still sending would not see the answer.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {
  private static final int MAX_WAITING = 64;
  private static final long MAX_REFUSED_BYTES = 64L * 1024 * 1024;
  private static final long MS_PER_SECOND = 1_000;

  private record Waiting(HttpRequest request, boolean keepAlive) {}

  private final HttpServer server;
  private final EventLoop loop;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private Optional<HttpExchange> open = Optional.empty();
  private io.netty.handler.codec.http.HttpRequest head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private long bodyBytes;
  private boolean bad;

  HttpConnection(HttpServer server, EventLoop loop) {
    this.server = server;
    this.loop = loop;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object part) {
    try {
      read(context, (HttpObject) part);
    } catch (RuntimeException | Error e) {
      loop.fail(e);
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void read(ChannelHandlerContext context, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      refuseGarbage(context);
      return;
    }
    if (part instanceof io.netty.handler.codec.http.HttpRequest newHead) {
      begin(context, newHead);
    }
    if (part instanceof HttpContent content) {
      take(context, content);
    }
    if (part instanceof LastHttpContent) {
      finish(context);
    }
  }

  private void refuseGarbage(ChannelHandlerContext context) {
    bad = true;
    write(context, HttpResponse.text(400, "not an HTTP request"), false);
  }

  private void begin(
      ChannelHandlerContext context, io.netty.handler.codec.http.HttpRequest newHead) {
    head = newHead;
    bodyBytes = 0;
    body = context.alloc().heapBuffer(Math.max(64, expectedBytes(newHead)));
    if (HttpUtil.is100ContinueExpected(newHead)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private int expectedBytes(io.netty.handler.codec.http.HttpRequest newHead) {
    long named = HttpUtil.getContentLength(newHead, 0L);
    return (int) Math.min(named, server.maxBodyBytes());
  }

  private void take(ChannelHandlerContext context, HttpContent content) {
    bodyBytes += content.content().readableBytes();
    if (bodyBytes <= server.maxBodyBytes()) {
      body.writeBytes(content.content());
    } else if (bodyBytes > MAX_REFUSED_BYTES) {
      context.close();
    }
  }

  private void finish(ChannelHandlerContext context) {
    byte[] whole = new byte[body.readableBytes()];
    body.readBytes(whole);
    body.release();
    body = Unpooled.EMPTY_BUFFER;
    if (bad || head == null) {
      return;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(head);
    if (bodyBytes > server.maxBodyBytes()) {
      write(
          context,
          HttpResponse.text(
              413,
              "body: value of %d bytes is too large; allowed: at most %d"
                  .formatted(bodyBytes, server.maxBodyBytes())),
          keepAlive);
      return;
    }
    String uri = head.uri();
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    HttpRequest request = new HttpRequest(head.method().name(), path, head.headers(), whole);
    if (waiting.size() >= MAX_WAITING) {
      context.close();
      return;
    }
    waiting.add(new Waiting(request, keepAlive));
    next(context);
  }

  private void next(ChannelHandlerContext context) {
    if (open.isPresent() || waiting.isEmpty()) {
      return;
    }
    Waiting first = waiting.remove();
    HttpExchange call =
        new HttpExchange(
            first.request(),
            answer -> answered(context, answer, first.keepAlive()),
            () -> brokenOff(context));
    open = Optional.of(call);
    server.handle(call);
  }

  private void answered(ChannelHandlerContext context, HttpResponse answer, boolean keepAlive) {
    open = Optional.empty();
    server.callOver();
    write(context, answer, keepAlive);
    next(context);
  }

  private void brokenOff(ChannelHandlerContext context) {
    open = Optional.empty();
    server.callOver();
    Resets.reset(context.channel());
  }

  private void write(ChannelHandlerContext context, HttpResponse answer, boolean keepAlive) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(answer.body()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    if (answer.retryAfterMs().isPresent()) {
      long seconds = Math.ceilDiv(answer.retryAfterMs().getAsLong(), MS_PER_SECOND);
      response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    answer.location().ifPresent(url -> response.headers().set(HttpHeaderNames.LOCATION, url));
    boolean keeps = keepAlive && !server.closesConnections() && waiting.isEmpty();
    if (!keeps && waiting.isEmpty()) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    } else {
      context.writeAndFlush(response, context.voidPromise());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    body.release();
    body = Unpooled.EMPTY_BUFFER;
    waiting.clear();
    if (open.isPresent()) {
      HttpExchange call = open.get();
      open = Optional.empty();
      server.callOver();
      try {
        call.abandon();
      } catch (RuntimeException | Error e) {
        loop.fail(e);
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
