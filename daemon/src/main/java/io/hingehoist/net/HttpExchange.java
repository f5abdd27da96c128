package io.hingehoist.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * An HTTP request that awaits its response. It ends when it is answered or aborted, or when its
 * caller disconnects. Not thread-safe: confined to the event loop.
 */
public final class HttpExchange {
  private final HttpRequest request;
  private final Consumer<HttpResponse> responses;
  private final Runnable resetConnection;
  private final EventLoop loop;
  private final long receivedAtMs;
  private final List<Runnable> cancellations = new ArrayList<>(1);
  private Runnable cancelTimeout = () -> {};
  private boolean ended;

  /**
   * Creates an exchange that has not ended.
   *
   * @param receivedAtMs when the last byte of the request was read
   */
  HttpExchange(
      HttpRequest request,
      Consumer<HttpResponse> responses,
      Runnable resetConnection,
      EventLoop loop,
      long receivedAtMs) {
    this.request = request;
    this.responses = responses;
    this.resetConnection = resetConnection;
    this.loop = loop;
    this.receivedAtMs = receivedAtMs;
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

  /**
   * Starts work for the caller, unless the exchange has ended. A handler that has waited for
   * something starts its work only through this method, as the caller may have disconnected
   * meanwhile.
   *
   * @param start starts the work; not run if the exchange has ended
   * @param cancel cancels the work; run at most once, if the caller disconnects before the response
   * @return whether the work was started
   */
  public boolean startWork(Runnable start, Runnable cancel) {
    if (ended) {
      return false;
    }
    cancellations.add(cancel);
    start.run();
    return true;
  }

  /**
   * Sets the time from the receipt of the request after which the caller counts as disconnected
   * unless the response was sent. The end of a connection is not received if the network loses it.
   * The request may have waited for others on its connection, so that the time may be over.
   */
  public void disconnectAfter(long timeoutMs) {
    cancelTimeout.run();
    long remainingMs = receivedAtMs + timeoutMs - EventLoop.nowMs();
    if (ended) {
      return;
    }
    if (remainingMs <= 0) {
      timeOut();
    } else {
      cancelTimeout = loop.schedule(this::timeOut, remainingMs);
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
      cancellations.forEach(Runnable::run);
    }
  }

  private void end() {
    ended = true;
    cancelTimeout.run();
  }
}
