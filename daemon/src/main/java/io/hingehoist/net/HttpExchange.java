package io.hingehoist.net;

import java.util.function.Consumer;

/** One HTTP request that waits for its answer. Owned by the event loop. */
public final class HttpExchange {
  private final HttpRequest request;
  private final Consumer<HttpResponse> answers;
  private final Runnable breaker;
  private Runnable onDisconnect = () -> {};
  private boolean over;

  HttpExchange(HttpRequest request, Consumer<HttpResponse> answers, Runnable breaker) {
    this.request = request;
    this.answers = answers;
    this.breaker = breaker;
  }

  /** Returns the request. */
  public HttpRequest request() {
    return request;
  }

  /** Answers the request, unless it was answered or its caller is gone. */
  public void answer(HttpResponse answer) {
    if (!over) {
      over = true;
      answers.accept(answer);
    }
  }

  /** Closes the connection without an answer: nothing can be said of the request. */
  public void abort() {
    if (!over) {
      over = true;
      breaker.run();
    }
  }

  /** Says what to do when the caller leaves before its answer. */
  public void onDisconnect(Runnable action) {
    onDisconnect = action;
  }

  void abandon() {
    if (!over) {
      over = true;
      onDisconnect.run();
    }
  }
}
