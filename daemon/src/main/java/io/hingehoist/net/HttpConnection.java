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
 * A connection of a caller: assembles requests, passes them on one at a time, and writes their
 * responses. A body that is too large is read to its end before it is refused, as a caller that is
 * still sending would not read the response. Not thread-safe: confined to the event loop.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {
  private static final int MAX_WAITING = 64;
  private static final long MAX_REFUSED_BYTES = 64L * 1024 * 1024;
  private static final long MS_PER_SECOND = 1_000;
  private static final long RETRY_AFTER_MS = 500;

  private record PendingRequest(HttpRequest request, boolean keepAlive, long reservedBytes) {}

  private final HttpServer server;
  private final EventLoop loop;
  private final Deque<PendingRequest> waiting = new ArrayDeque<>();
  private Optional<HttpExchange> inFlight = Optional.empty();
  private io.netty.handler.codec.http.HttpRequest head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private long bodyBytes;

  /** The bytes reserved for the request that is being received. */
  private long reservedBytes;

  /** The bytes reserved for the request in flight. */
  private long inFlightReservedBytes;

  private boolean exceedsBudget;
  private boolean malformed;

  HttpConnection(HttpServer server, EventLoop loop) {
    this.server = server;
    this.loop = loop;
  }

  /**
   * Ends the requests as soon as the connection closes. The channel becomes inactive only in a
   * later task of the loop, after those that the requests have scheduled.
   */
  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    context.channel().closeFuture().addListener(closed -> endRequests());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object part) {
    try {
      read(context, (HttpObject) part);
    } catch (RuntimeException | Error e) {
      loop.reportFatal(e);
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void read(ChannelHandlerContext context, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      refuseMalformed(context);
      return;
    }
    if (part instanceof io.netty.handler.codec.http.HttpRequest newHead) {
      startRequest(context, newHead);
    }
    if (part instanceof HttpContent content) {
      addContent(context, content);
    }
    if (part instanceof LastHttpContent) {
      finishRequest(context);
    }
  }

  private void refuseMalformed(ChannelHandlerContext context) {
    malformed = true;
    write(context, HttpResponse.text(400, "not an HTTP request"), false);
  }

  private void startRequest(
      ChannelHandlerContext context, io.netty.handler.codec.http.HttpRequest newHead) {
    head = newHead;
    bodyBytes = 0;
    exceedsBudget = false;
    int expectedBytes = expectedBytes(newHead);
    int initialBytes = reserveUpTo(expectedBytes) ? expectedBytes : 0;
    body = context.alloc().heapBuffer(Math.max(64, initialBytes));
    if (HttpUtil.is100ContinueExpected(newHead)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private int expectedBytes(io.netty.handler.codec.http.HttpRequest newHead) {
    long contentLength = HttpUtil.getContentLength(newHead, 0L);
    return (int) Math.min(contentLength, server.maxBodyBytes());
  }

  private void addContent(ChannelHandlerContext context, HttpContent content) {
    bodyBytes += content.content().readableBytes();
    if (bodyBytes <= server.maxBodyBytes()) {
      if (reserveUpTo(bodyBytes)) {
        body.writeBytes(content.content());
      }
    } else if (bodyBytes > MAX_REFUSED_BYTES) {
      context.close();
    }
  }

  /** Raises the reservation for the request being received, unless it exceeds the budget. */
  private boolean reserveUpTo(long bytes) {
    long missingBytes = Math.max(0, bytes - reservedBytes);
    exceedsBudget |= !server.bodyBudget().reserve(missingBytes);
    if (!exceedsBudget) {
      reservedBytes += missingBytes;
    }
    return !exceedsBudget;
  }

  private void releaseReserved() {
    server.bodyBudget().release(reservedBytes);
    reservedBytes = 0;
  }

  private void finishRequest(ChannelHandlerContext context) {
    byte[] bodyContent = new byte[body.readableBytes()];
    body.readBytes(bodyContent);
    body.release();
    body = Unpooled.EMPTY_BUFFER;
    if (malformed || head == null) {
      releaseReserved();
      return;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(head);
    Optional<HttpResponse> refusal = refusalOfBody();
    if (refusal.isPresent()) {
      releaseReserved();
      write(context, refusal.get(), keepAlive);
      return;
    }
    String uri = head.uri();
    int queryStart = uri.indexOf('?');
    String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
    HttpRequest request = new HttpRequest(head.method().name(), path, head.headers(), bodyContent);
    if (waiting.size() >= MAX_WAITING) {
      releaseReserved();
      context.close();
      return;
    }
    waiting.add(new PendingRequest(request, keepAlive, reservedBytes));
    reservedBytes = 0;
    handleNext(context);
  }

  private Optional<HttpResponse> refusalOfBody() {
    if (bodyBytes > server.maxBodyBytes()) {
      return Optional.of(
          HttpResponse.text(
              413,
              "body: value of %d bytes is too large; allowed: at most %d"
                  .formatted(bodyBytes, server.maxBodyBytes())));
    }
    if (exceedsBudget) {
      return Optional.of(
          HttpResponse.text(503, "too many requests with large bodies at once")
              .retryAfter(RETRY_AFTER_MS));
    }
    return Optional.empty();
  }

  private void handleNext(ChannelHandlerContext context) {
    if (inFlight.isPresent() || waiting.isEmpty()) {
      return;
    }
    PendingRequest first = waiting.remove();
    inFlightReservedBytes = first.reservedBytes();
    HttpExchange exchange =
        new HttpExchange(
            first.request(),
            response -> onAnswered(context, response, first.keepAlive()),
            () -> onAborted(context),
            loop);
    inFlight = Optional.of(exchange);
    server.handle(exchange);
  }

  private void onAnswered(ChannelHandlerContext context, HttpResponse response, boolean keepAlive) {
    endInFlight();
    write(context, response, keepAlive);
    handleNext(context);
  }

  private void onAborted(ChannelHandlerContext context) {
    endInFlight();
    Resets.reset(context.channel());
  }

  private void endInFlight() {
    inFlight = Optional.empty();
    server.bodyBudget().release(inFlightReservedBytes);
    inFlightReservedBytes = 0;
    server.exchangeEnded();
  }

  private void write(ChannelHandlerContext context, HttpResponse response, boolean keepAlive) {
    FullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.wrappedBuffer(response.body()));
    message.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
    message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    if (response.retryAfterMs().isPresent()) {
      long seconds = Math.ceilDiv(response.retryAfterMs().getAsLong(), MS_PER_SECOND);
      message.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    response.location().ifPresent(url -> message.headers().set(HttpHeaderNames.LOCATION, url));
    boolean staysOpen = keepAlive && !server.closesConnections() && waiting.isEmpty();
    if (!staysOpen && waiting.isEmpty()) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      context.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    } else {
      context.writeAndFlush(message, context.voidPromise());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    body.release();
    body = Unpooled.EMPTY_BUFFER;
    releaseReserved();
    // The decoder may complete a request after the connection has closed.
    endRequests();
  }

  private void endRequests() {
    waiting.forEach(pending -> server.bodyBudget().release(pending.reservedBytes()));
    waiting.clear();
    if (inFlight.isPresent()) {
      HttpExchange exchange = inFlight.get();
      endInFlight();
      try {
        exchange.disconnected();
      } catch (RuntimeException | Error e) {
        loop.reportFatal(e);
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
