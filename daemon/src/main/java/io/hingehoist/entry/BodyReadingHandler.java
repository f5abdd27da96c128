package io.hingehoist.entry;

import java.util.Optional;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ByteBufferContentSource;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Passes on requests once their bodies are in memory, and sends responses from memory, so that a
 * caller that sends or reads slowly keeps no thread. Thread-safe.
 */
final class BodyReadingHandler extends Handler.Wrapper {
  private final CallerConnections connections;
  private final int maxBodyBytes;

  BodyReadingHandler(CallerConnections connections, int maxBodyBytes) {
    this.connections = connections;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    Optional<CallerConnection> connection = connections.of(request);
    if (connection.isEmpty()) {
      callback.failed(new IllegalStateException("the connection has closed"));
      return true;
    }
    new BodyReader(
            request,
            response,
            callback,
            connection.get(),
            maxBodyBytes,
            body -> handleWhole(request, response, callback, connection.get(), body))
        .start();
    return true;
  }

  private void handleWhole(
      Request request,
      Response response,
      Callback callback,
      CallerConnection connection,
      byte[] body) {
    WholeRequest whole = new WholeRequest(request, body);
    BufferedResponse buffered = new BufferedResponse(whole, response);
    Callback sending =
        Callback.from(
            () -> buffered.send(connection, callback),
            failure -> {
              connection.becomeIdle();
              callback.failed(failure);
            });
    try {
      if (!super.handle(whole, buffered, sending)) {
        Response.writeError(whole, buffered, sending, 404);
      }
    } catch (Exception e) {
      Response.writeError(whole, buffered, sending, e);
    }
    // The body is parsed; what was made of it is smaller than during parsing.
    connection.setRunning(2L * body.length + 1);
  }

  /** A request whose body is in memory. */
  private static final class WholeRequest extends Request.Wrapper {
    private final ByteBufferContentSource body;

    private WholeRequest(Request request, byte[] body) {
      super(request);
      this.body = new ByteBufferContentSource(java.nio.ByteBuffer.wrap(body));
    }

    @Override
    public long getLength() {
      return body.getLength();
    }

    @Override
    public Content.Chunk read() {
      return body.read();
    }

    @Override
    public void demand(Runnable onContent) {
      body.demand(onContent);
    }

    @Override
    public boolean consumeAvailable() {
      return true;
    }
  }
}
