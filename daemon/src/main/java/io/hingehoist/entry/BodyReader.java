package io.hingehoist.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hingehoist.limits.BodyBuffer;
import io.hingehoist.limits.CloseReason;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Reads the body of one request as it arrives, without a thread that waits for it. A request that
 * is refused before its end is answered at once; the rest of its body is read and discarded for a
 * while, as a caller that is sending would not read the response if the connection were closed.
 * {@link #refuseTooMuchHeld} is thread-safe; the other methods are called by one thread at a time.
 */
final class BodyReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long RETRY_AFTER_MS = 1_000;
  private static final long MS_PER_SECOND = 1_000;

  /** The memory of a parsed header field. */
  private static final long FIELD_BYTES = 256;

  /** The multiple of a body's size that parsing it takes. */
  private static final long PARSING_FACTOR = 5;

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final CallerConnection connection;
  private final int maxBytes;
  private final long headBytes;
  private final Consumer<byte[]> onBody;
  private final AtomicBoolean refusalSent = new AtomicBoolean();

  /** Guarded by the monitor of the limiter until the body is complete. */
  private final BodyBuffer body;

  private long bodyBytes;

  /**
   * Creates a reader.
   *
   * @param maxBytes the maximum size of a body; a larger one is refused with status 413
   * @param onBody receives the whole body, unless the request is refused
   */
  BodyReader(
      Request request,
      Response response,
      Callback callback,
      CallerConnection connection,
      int maxBytes,
      Consumer<byte[]> onBody) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.connection = connection;
    this.maxBytes = maxBytes;
    this.headBytes = request.getHeaders().size() * FIELD_BYTES;
    this.onBody = onBody;
    long announcedBytes = request.getLength();
    this.body =
        BodyBuffer.create((int) Math.min(announcedBytes < 0 ? maxBytes : announcedBytes, maxBytes));
  }

  /** Starts to read. */
  void start() {
    connection.setReceiving(this, headBytes);
    if (request.getLength() > maxBytes) {
      refuseTooLarge();
    }
    read();
  }

  private void read() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::read);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        connection.becomeIdle();
        callback.failed(chunk.getFailure());
        return;
      }
      boolean last = chunk.isLast();
      add(chunk.getByteBuffer());
      chunk.release();
      if (last) {
        finish();
        return;
      }
    }
  }

  private void add(ByteBuffer content) {
    bodyBytes += content.remaining();
    if (connection.isRefused()) {
      return;
    }
    if (bodyBytes > maxBytes) {
      refuseTooLarge();
    } else {
      connection.receive(this, body, content, headBytes);
    }
  }

  /** Drops what was received. Called with the monitor of the limiter held. */
  void dropBody() {
    body.clear();
  }

  private void finish() {
    if (connection.startRunning(headBytes + PARSING_FACTOR * body.size())) {
      onBody.accept(body.toBytes());
    } else {
      refuseTooMuchHeld();
      callback.succeeded();
    }
  }

  private void refuseTooLarge() {
    connection.refuse(CloseReason.BODY_TOO_LARGE);
    sendRefusal(
        413, AnswerBody.refused("INVALID", "body: allowed: at most " + maxBytes + " bytes", null));
  }

  /** Refuses the request because callers together hold too much memory. */
  void refuseTooMuchHeld() {
    if (!refusalSent.get()) {
      response.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_AFTER_MS / MS_PER_SECOND);
      sendRefusal(
          503, AnswerBody.refused("BUSY", "too many large requests at once", RETRY_AFTER_MS));
    }
  }

  private void sendRefusal(int status, AnswerBody refusal) {
    if (refusalSent.compareAndSet(false, true)) {
      response.setStatus(status);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
      response.write(true, ByteBuffer.wrap(toJson(refusal)), Callback.NOOP);
    }
  }

  private static byte[] toJson(AnswerBody refusal) {
    try {
      return MAPPER.writeValueAsBytes(refusal);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("can't serialize a refusal", e);
    }
  }
}
