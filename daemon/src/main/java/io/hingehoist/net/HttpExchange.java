package io.hingehoist.net;

import java.util.function.Consumer;

/** An HTTP request that awaits its response. Not thread-safe: confined to the event loop. */
public final class HttpExchange {
  private final HttpRequest request;
  private final Consumer<HttpResponse> responses;
  private final Runnable resetConnection;
  private final EventLoop loop;
  private Runnable onDisconnect = () -> {};
  private Runnable cancelTimeout = () -> {};
  private boolean ended;

  HttpExchange(
      HttpRequest request,
      Consumer<HttpResponse> responses,
      Runnable resetConnection,
      EventLoop loop) {
    this.request = request;
    this.responses = responses;
    this.resetConnection = resetConnection;
    this.loop = loop;
  }

  /** Returns the request. */
  public HttpRequest request() {
    return request;
  }

  /** Sends the response, unless the exchange has ended or the caller has disconnected. */
  public void answer(HttpResponse response) {
    if (!ended) {
      end();
      responses.accept(response);
    }
  }

  /** Resets the connection without a response, as the state of the request is not known. */
  public void abort() {
    if (!ended) {
      end();
      resetConnection.run();
    }
  }

  /** Sets the action to run if the caller disconnects before the response. */
  public void onDisconnect(Runnable action) {
    onDisconnect = action;
  }

  /**
   * Sets the time after which the caller counts as disconnected unless the response was sent. The
   * end of a connection is not received if the network loses it.
   */
  public void disconnectAfter(long timeoutMs) {
    cancelTimeout.run();
    if (!ended) {
      cancelTimeout = loop.schedule(this::timeOut, timeoutMs);
    }
  }

  private void timeOut() {
    disconnected();
    resetConnection.run();
  }

  /** Ends the exchange after the caller has disconnected. */
  void disconnected() {
    if (!ended) {
      end();
      onDisconnect.run();
    }
  }

  private void end() {
    ended = true;
    cancelTimeout.run();
  }
}
