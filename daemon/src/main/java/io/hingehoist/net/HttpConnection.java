package io.hingehoist.net;

import io.hingehoist.limits.BodyBuffer;
import io.hingehoist.limits.CloseReason;
import io.hingehoist.limits.ConnectionLimiter;
import io.hingehoist.limits.LimitedConnection;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * A connection of a caller: assembles requests, passes them on one at a time, and writes their
 * responses. Not thread-safe: confined to the event loop.
 *
 * <p>A request that is refused before its end is answered at once, and the connection accepts no
 * further one. The bytes that still arrive are read and discarded for a while, as a caller that is
 * sending would not read the response if the connection were closed.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter implements LimitedConnection {
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  /** The number of waiting requests at which the connection is not read. */
  private static final int MAX_WAITING = 64;

  /** The size of waiting requests at which the connection is not read. */
  private static final long MAX_WAITING_BYTES = 64 * 1024;

  /**
   * The number of parts (heads, pieces of bodies) in one read from which on the connection waits
   * for its turn to be read again.
   */
  private static final int MAX_PARTS_PER_READ = 64;

  /** The bytes that a caller may still send after it was refused. */
  private static final long MAX_DISCARDED_BYTES = 64L * 1024 * 1024;

  /** The time for which a refused caller may still send. */
  private static final long DISCARD_TIMEOUT_MS = 5_000;

  /** The memory of a request without its fields and its body. */
  private static final long REQUEST_BYTES = 512;

  /** The memory of a header field without its name and its value. */
  private static final long FIELD_BYTES = 144;

  private static final long MS_PER_SECOND = 1_000;
  private static final long RETRY_AFTER_MS = 500;

  /** What waits for its turn on the connection. */
  private sealed interface Pending {
    /** A complete request. */
    record Call(HttpRequest request, boolean keepAlive, long heldBytes, long receivedAtMs)
        implements Pending {}

    /** The response to a request that was refused before its end. */
    record Refusal(HttpResponse response) implements Pending {}
  }

  private final HttpServer server;
  private final EventLoop loop;
  private final ConnectionLimiter limiter;
  private final Deque<Pending> waiting = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private Optional<HttpExchange> inFlight = Optional.empty();

  /** The head of the request that is being received; empty before its end. */
  private Optional<io.netty.handler.codec.http.HttpRequest> head = Optional.empty();

  private BodyBuffer body = BodyBuffer.create(0);
  private long bodyBytes;

  /** The bytes read since the last complete head, while the next one is not complete. */
  private long headBytes;

  private long headStartedAtMs;
  private long lastReadAtMs = EventLoop.nowMs();

  /**
   * What the decoder may keep between requests: a buffer as large as the largest head so far, and
   * what has arrived after the last request.
   */
  private long decoderBytes;

  /** The most that the last read may have brought of the head after the request that it ended. */
  private long carriedBytes;

  /** The bytes of the current read that are not content of a body. */
  private long readBytesOutsideBodies;

  /** The parsed fields of the request that is being received. */
  private long fieldBytes;

  private long waitingBytes;

  /** What the socket's buffer may hold while the connection is not read. */
  private long pausedBytes;

  private long inFlightBytes;
  private long unsentBytes;
  private long unsentSinceMs;

  /** The bytes of the response that the socket had not accepted when it last accepted some. */
  private long unsentBytesAtCheck;

  /** The sum of the above as the limiter knows it. */
  private long heldBytes;

  private boolean discards;
  private long discardedBytes;
  private long discardsSinceMs;
  private boolean handling;
  private int partsInRead;

  /** Whether the connection is not read until its turn. */
  private boolean awaitsTurn;

  /** Whether a complete request was received. */
  private boolean proven;

  private HttpConnection(HttpServer server, EventLoop loop) {
    this.server = server;
    this.loop = loop;
    this.limiter = loop.connections();
  }

  /** Adds the handlers of a new connection. */
  static void install(Channel channel, HttpServer server, EventLoop loop) {
    HttpConnection connection = new HttpConnection(server, loop);
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setHeadersFactory(CountedFields.factory(connection))
            .setTrailersFactory(CountedFields.factory(connection));
    channel
        .pipeline()
        .addLast(new ReadMeter(connection))
        .addLast(new HttpServerCodec(config))
        .addLast(connection);
  }

  /**
   * Ends the requests as soon as the connection closes. The channel becomes inactive only in a
   * later task of the loop, after those that the requests have scheduled.
   */
  @Override
  public void handlerAdded(ChannelHandlerContext newContext) {
    context = newContext;
    context
        .channel()
        .closeFuture()
        .addListener(
            closed -> {
              limiter.remove(this);
              endRequests();
            });
    if (!limiter.add(this)) {
      context.close();
    }
  }

  // Receiving.

  /** Returns whether the connection accepts no further request. */
  boolean discards() {
    return discards;
  }

  /** Called for bytes that have arrived and are not decoded. */
  void discard(int bytes) {
    discardedBytes += bytes;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      context.close();
    }
  }

  /** Called before bytes that have arrived are decoded. */
  void beforeRead(int bytes) {
    partsInRead = 0;
    readBytesOutsideBodies = bytes;
    lastReadAtMs = EventLoop.nowMs();
    if (head.isEmpty()) {
      headStartedAtMs = headBytes == 0 ? lastReadAtMs : headStartedAtMs;
      headBytes += bytes + (headBytes == 0 ? carriedBytes : 0);
    }
  }

  /** Called after bytes that have arrived are decoded. */
  void afterRead() {
    if (partsInRead > MAX_PARTS_PER_READ && !awaitsTurn) {
      awaitsTurn = true;
      updateReading();
      loop.readTurns().await(this::takeTurn);
    }
    if (!discards) {
      carriedBytes = head.isEmpty() ? readBytesOutsideBodies : 0;
      keepInDecoder(carriedBytes);
    }
    updateHeld();
    limiter.enforceHeldBytes();
  }

  private void takeTurn() {
    awaitsTurn = false;
    updateReading();
    updateHeld();
  }

  /** Called for each parsed header field. */
  void addField(int textBytes) {
    fieldBytes += textBytes + FIELD_BYTES;
  }

  @Override
  public void channelRead(ChannelHandlerContext ignored, Object part) {
    partsInRead++;
    try {
      switch (part) {
        case ByteBuf bytes -> discard(bytes.readableBytes());
        case HttpObject decoded when !discards -> read(decoded);
        default -> {}
      }
    } catch (RuntimeException | Error e) {
      loop.reportFatal(e);
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void read(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      refuse(HttpResponse.text(400, "not an HTTP request"));
      return;
    }
    if (part instanceof io.netty.handler.codec.http.HttpRequest newHead) {
      startRequest(newHead);
    }
    if (part instanceof HttpContent content && !discards) {
      addContent(content);
    }
    if (part instanceof LastHttpContent && !discards) {
      finishRequest();
    }
  }

  private void startRequest(io.netty.handler.codec.http.HttpRequest newHead) {
    long announcedBytes = HttpUtil.getContentLength(newHead, -1L);
    keepInDecoder(headBytes);
    headBytes = 0;
    head = Optional.of(newHead);
    bodyBytes = 0;
    body =
        BodyBuffer.create(
            announcedBytes < 0
                ? server.maxBodyBytes()
                : (int) Math.min(announcedBytes, server.maxBodyBytes()));
    if (announcedBytes > server.maxBodyBytes()) {
      refuseTooLarge(announcedBytes);
    } else if (HttpUtil.is100ContinueExpected(newHead)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void keepInDecoder(long bytes) {
    decoderBytes = Math.max(decoderBytes, Math.min(bytes, MAX_HEADER_BYTES));
  }

  private void addContent(HttpContent content) {
    int contentBytes = content.content().readableBytes();
    readBytesOutsideBodies -= contentBytes;
    bodyBytes += contentBytes;
    if (bodyBytes > server.maxBodyBytes()) {
      refuseTooLarge(bodyBytes);
    } else {
      body.append(content.content().nioBuffer());
    }
  }

  private void refuseTooLarge(long bytes) {
    limiter.recordRefusal(this, CloseReason.BODY_TOO_LARGE);
    refuse(
        HttpResponse.text(
            413,
            "body: value of %d bytes is too large; allowed: at most %d"
                .formatted(bytes, server.maxBodyBytes())));
  }

  private void finishRequest() {
    if (head.isEmpty()) {
      return;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(head.get());
    String uri = head.get().uri();
    int queryStart = uri.indexOf('?');
    String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
    HttpRequest request =
        new HttpRequest(head.get().method().name(), path, head.get().headers(), body.toBytes());
    long requestBytes = REQUEST_BYTES + uri.length() + fieldBytes + request.body().length;
    dropUnfinishedRequest();
    proven = true;
    limiter.recordRequest(this);
    waiting.add(new Pending.Call(request, keepAlive, requestBytes, lastReadAtMs));
    waitingBytes += requestBytes;
    handleWaiting();
    updateReading();
  }

  private void dropUnfinishedRequest() {
    head = Optional.empty();
    body = BodyBuffer.create(0);
    bodyBytes = 0;
    headBytes = 0;
    fieldBytes = 0;
  }

  /** Reads from the connection, unless much waits on it or it awaits its turn. */
  private void updateReading() {
    boolean muchWaits = waiting.size() >= MAX_WAITING || waitingBytes >= MAX_WAITING_BYTES;
    boolean reads = !awaitsTurn && (discards || !muchWaits);
    if (reads != context.channel().config().isAutoRead()) {
      context.channel().config().setAutoRead(reads);
    }
  }

  // Handling and answering.

  /**
   * Handles the next of the requests that wait, if the response to the last was sent. The others
   * follow in later tasks of the loop, so that requests of other connections are handled between
   * them.
   */
  private void handleWaiting() {
    if (!canHandleNext() || handling) {
      return;
    }
    handling = true;
    try {
      handle(waiting.remove());
    } finally {
      handling = false;
    }
    if (canHandleNext()) {
      loop.execute(this::continueWaiting);
    }
  }

  private boolean canHandleNext() {
    return inFlight.isEmpty() && unsentBytes == 0 && !waiting.isEmpty();
  }

  private void continueWaiting() {
    handleWaiting();
    updateReading();
    updateHeld();
  }

  private void handle(Pending next) {
    switch (next) {
      case Pending.Call call -> handle(call);
      case Pending.Refusal refusal -> writeRefusal(refusal.response());
    }
  }

  private void handle(Pending.Call call) {
    waitingBytes -= call.heldBytes();
    inFlightBytes = call.heldBytes();
    HttpExchange exchange =
        new HttpExchange(
            call.request(),
            response -> onAnswered(response, call.keepAlive()),
            this::onAborted,
            loop,
            call.receivedAtMs());
    inFlight = Optional.of(exchange);
    server.handle(exchange);
  }

  private void onAnswered(HttpResponse response, boolean keepAlive) {
    endInFlight();
    write(response, keepAlive);
    handleWaiting();
    updateReading();
    if (inFlight.isEmpty() && waiting.isEmpty()) {
      limiter.recordIdle(this);
    }
    updateHeld();
    limiter.enforceHeldBytes();
  }

  private void onAborted() {
    endInFlight();
    updateHeld();
    Resets.reset(context.channel());
  }

  private void endInFlight() {
    inFlight = Optional.empty();
    inFlightBytes = 0;
    server.exchangeEnded();
  }

  private void write(HttpResponse response, boolean keepAlive) {
    FullHttpResponse message = toMessage(response);
    boolean staysOpen = keepAlive && !server.closesConnections();
    if (!staysOpen && waiting.isEmpty()) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      context.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    } else {
      context.writeAndFlush(message, context.voidPromise());
    }
    if (!context.channel().isWritable()) {
      unsentBytes = response.body().length + REQUEST_BYTES;
      unsentSinceMs = EventLoop.nowMs();
      unsentBytesAtCheck = context.channel().bytesBeforeWritable();
    }
  }

  private static FullHttpResponse toMessage(HttpResponse response) {
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
    return message;
  }

  /** Continues once the caller has read a response that did not fit in the socket's buffer. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ignored) {
    if (unsentBytes > 0 && context.channel().isWritable()) {
      unsentBytes = 0;
      loop.execute(this::continueWaiting);
    }
  }

  // Refusing.

  /** Answers the request that is being received, after those before it, and accepts no other. */
  private void refuse(HttpResponse response) {
    stopAccepting();
    waiting.add(new Pending.Refusal(response));
    handleWaiting();
    updateReading();
    updateHeld();
  }

  private void stopAccepting() {
    discards = true;
    discardsSinceMs = EventLoop.nowMs();
    dropUnfinishedRequest();
  }

  private void writeRefusal(HttpResponse response) {
    discardsSinceMs = EventLoop.nowMs();
    FullHttpResponse message = toMessage(response);
    message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context
        .writeAndFlush(message)
        .addListener(
            sent -> {
              if (sent.isSuccess()) {
                ((DuplexChannel) context.channel()).shutdownOutput();
              } else {
                context.close();
              }
            });
    context.pipeline().remove(HttpServerCodec.class);
    decoderBytes = 0;
  }

  // Limits.

  private void updateHeld() {
    long partialHeadBytes = Math.min(headBytes, MAX_HEADER_BYTES);
    long receivingBytes = Math.max(decoderBytes, partialHeadBytes) + fieldBytes + body.capacity();
    pausedBytes = context.channel().config().isAutoRead() ? 0 : HttpServer.RECEIVE_BUFFER_BYTES;
    long now = receivingBytes + waitingBytes + pausedBytes + inFlightBytes + unsentBytes;
    limiter.recordHeld(this, now - heldBytes);
    heldBytes = now;
  }

  @Override
  public long heldBytes() {
    return heldBytes;
  }

  @Override
  public long releasableBytes() {
    if (discards) {
      return inFlight.isPresent() ? 0 : heldBytes;
    }
    return heldBytes - inFlightBytes;
  }

  @Override
  public Stage stage() {
    if (inFlight.isPresent()) {
      return Stage.WAITING;
    }
    return unsentBytes > 0 ? Stage.UNREAD : Stage.RECEIVING;
  }

  @Override
  public void giveWay() {
    switch (stage()) {
      case RECEIVING -> giveWayWhileReceiving();
      case UNREAD -> close(CloseReason.HELD_BYTES);
      case WAITING -> dropWaiting();
    }
  }

  private void giveWayWhileReceiving() {
    if (discards || (head.isEmpty() && headBytes == 0)) {
      close(CloseReason.HELD_BYTES);
    } else {
      limiter.recordRefusal(this, CloseReason.HELD_BYTES);
      refuse(tooMuchHeld());
    }
  }

  /** Refuses the first of the requests that wait, which were not handled, and drops the others. */
  private void dropWaiting() {
    limiter.recordClose(CloseReason.HELD_BYTES);
    waiting.clear();
    waitingBytes = 0;
    refuse(tooMuchHeld());
  }

  private static HttpResponse tooMuchHeld() {
    return HttpResponse.text(503, "too many large requests at once").retryAfter(RETRY_AFTER_MS);
  }

  @Override
  public void close(CloseReason reason) {
    limiter.recordClose(reason);
    releaseReceived();
    context.close();
  }

  @Override
  public void checkTimeouts(long nowMs) {
    long quietMs = nowMs - lastReadAtMs;
    if (discards && inFlight.isEmpty() && nowMs - discardsSinceMs > DISCARD_TIMEOUT_MS) {
      context.close();
    } else if (inFlight.isPresent() || discards) {
      return;
    } else if (unsentBytes > 0) {
      closeIf(unsentForMs(nowMs) > limiter.limits().idleTimeoutMs());
    } else if (head.isEmpty() && headBytes > 0) {
      refuseIf(
          nowMs - headStartedAtMs > limiter.limits().headerTimeoutMs(), CloseReason.HEADER_TIMEOUT);
    } else if (head.isPresent()) {
      refuseIf(quietMs > limiter.limits().idleTimeoutMs(), CloseReason.IDLE_TIMEOUT);
    } else if (!proven) {
      closeIf(quietMs > limiter.limits().idleTimeoutMs());
    }
  }

  /** Returns the time since the caller has read any part of the response. */
  private long unsentForMs(long nowMs) {
    long bytes = context.channel().bytesBeforeWritable();
    if (bytes != unsentBytesAtCheck) {
      unsentBytesAtCheck = bytes;
      unsentSinceMs = nowMs;
    }
    return nowMs - unsentSinceMs;
  }

  private void closeIf(boolean idle) {
    if (idle) {
      close(CloseReason.IDLE_TIMEOUT);
    }
  }

  private void refuseIf(boolean late, CloseReason reason) {
    if (late) {
      limiter.recordRefusal(this, reason);
      refuse(HttpResponse.text(408, "the request did not end in time"));
    }
  }

  // Closing.

  @Override
  public void channelInactive(ChannelHandlerContext ignored) {
    // The decoder may complete a request after the connection has closed.
    releaseReceived();
    endRequests();
  }

  private void releaseReceived() {
    dropUnfinishedRequest();
    waiting.clear();
    waitingBytes = 0;
    decoderBytes = 0;
    unsentBytes = 0;
    updateHeld();
  }

  private void endRequests() {
    waiting.clear();
    waitingBytes = 0;
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
  public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
    context.close();
  }
}
