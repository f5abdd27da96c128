package io.hingehoist.net;

import java.util.function.Consumer;

/** An HTTP request that awaits its response. Not thread-safe: confined to the event loop. */
public final class HttpExchange {
  private final HttpRequest request;
  private final Consumer<HttpResponse> responses;
  private final Runnable resetConnection;
  private Runnable onDisconnect = () -> {};
  private boolean ended;

  HttpExchange(HttpRequest request, Consumer<HttpResponse> responses, Runnable resetConnection) {
    this.request = request;
    this.responses = responses;
    this.resetConnection = resetConnection;
  }

  /** Returns the request. */
  public HttpRequest request() {
    return request;
  }

  /** Sends the response, unless the exchange has ended or the caller has disconnected. */
  public void answer(HttpResponse response) {
    if (!ended) {
      ended = true;
      responses.accept(response);
    }
  }

  /** Resets the connection without a response, as the state of the request is not known. */
  public void abort() {
    if (!ended) {
      ended = true;
      resetConnection.run();
    }
  }

  /** Sets the action to run if the caller disconnects before the response. */
  public void onDisconnect(Runnable action) {
    onDisconnect = action;
  }

  /** Ends the exchange after the caller has disconnected. */
  void disconnected() {
    if (!ended) {
      ended = true;
      onDisconnect.run();
    }
  }
}
