package io.hingehoist.net;

/** Handles HTTP requests on the event loop. */
@FunctionalInterface
public interface HttpHandler {

  /** Handles a request; the response may be sent now or later. */
  void handle(HttpExchange exchange);
}
