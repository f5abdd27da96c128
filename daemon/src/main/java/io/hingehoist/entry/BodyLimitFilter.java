package io.hingehoist.entry;

import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerRequestFilter;
import jakarta.ws.rs.container.PreMatching;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Refuses request bodies above a size limit, with or without a {@code Content-Length} header. The
 * rest of a refused body is read first: a caller that is still sending when the connection closes
 * would not receive the response. Thread-safe.
 */
@PreMatching
final class BodyLimitFilter implements ContainerRequestFilter {
  private static final long MAX_DRAINED_BYTES = 64L * 1024 * 1024;

  private final long maxBytes;

  BodyLimitFilter(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public void filter(ContainerRequestContext context) throws IOException {
    if (context.getLength() > maxBytes) {
      drain(context.getEntityStream());
      throw tooLarge();
    }
    context.setEntityStream(new LimitedStream(context.getEntityStream()));
  }

  private static void drain(InputStream body) throws IOException {
    long remainingBytes = MAX_DRAINED_BYTES;
    while (remainingBytes > 0) {
      long skipped = body.skip(remainingBytes);
      // skip() may return 0 before the end of the stream; only read() detects the end.
      if (skipped == 0 && body.read() < 0) {
        return;
      }
      remainingBytes -= Math.max(1, skipped);
    }
  }

  private WebApplicationException tooLarge() {
    AnswerBody body =
        AnswerBody.refused("INVALID", "body: allowed: at most " + maxBytes + " bytes", null);
    return new WebApplicationException(
        Response.status(Response.Status.REQUEST_ENTITY_TOO_LARGE)
            .type(MediaType.APPLICATION_JSON)
            .entity(body)
            .build());
  }

  private final class LimitedStream extends FilterInputStream {
    private long remainingBytes = maxBytes;

    private LimitedStream(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      int value = super.read();
      count(value < 0 ? 0 : 1);
      return value;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      int count = super.read(buffer, offset, length);
      count(Math.max(0, count));
      return count;
    }

    private void count(int bytes) throws IOException {
      remainingBytes -= bytes;
      if (remainingBytes < 0) {
        drain(in);
        throw tooLarge();
      }
    }
  }
}
