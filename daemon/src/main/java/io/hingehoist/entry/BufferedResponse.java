package io.hingehoist.entry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * A response that is collected in memory, so that its writer never waits for the caller, and then
 * sent at once. Not thread-safe.
 */
final class BufferedResponse extends Response.Wrapper {
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private boolean complete;

  BufferedResponse(Request request, Response response) {
    super(request, response);
  }

  @Override
  public void write(boolean last, ByteBuffer part, Callback callback) {
    if (part != null) {
      byte[] bytes = BufferUtil.toArray(part);
      BufferUtil.clear(part);
      content.writeBytes(bytes);
    }
    complete |= last;
    callback.succeeded();
  }

  @Override
  public boolean hasLastWrite() {
    return complete;
  }

  @Override
  public void reset() {
    content.reset();
    complete = false;
    super.reset();
  }

  /** Sends what was collected, and completes a callback when the caller has received it. */
  void send(CallerConnection connection, Callback callback) {
    connection.startSending(content.size());
    Callback sent =
        Callback.from(
            () -> {
              connection.becomeIdle();
              callback.succeeded();
            },
            failure -> {
              connection.becomeIdle();
              callback.failed(failure);
            });
    super.write(true, ByteBuffer.wrap(content.toByteArray()), sent);
  }
}
