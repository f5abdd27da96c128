package io.hingehoist.net;

/** Takes HTTP requests, on the event loop. */
@FunctionalInterface
public interface HttpHandler {

  /** Takes a request, and answers it now or later. */
  void handle(HttpExchange call);
}
