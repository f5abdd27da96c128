package io.hingehoist.entry;

import io.hingehoist.metrics.Metrics;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;

/** Static helpers that turn an {@link Answer} into an HTTP response. */
final class Answers {
  private static final int TOO_MANY_REQUESTS = 429;
  private static final Executor WRITERS = Executors.newVirtualThreadPerTaskExecutor();

  private Answers() {}

  /** Sends the answer once it is there, and counts it. */
  static void send(
      CompletableFuture<Answer> answer, AsyncResponse response, String kind, Metrics metrics) {
    long startNanos = System.nanoTime();
    // The thread that completes an answer owns the state of the entry: it must not write to
    // sockets.
    answer.whenCompleteAsync(
        (value, failure) -> {
          if (failure != null) {
            response.resume(failure);
            return;
          }
          double seconds = (System.nanoTime() - startNanos) / 1e9;
          AnswerBody body = toBody(value);
          metrics.recordAnswer(kind, body.outcome(), seconds);
          if (value instanceof Answer.Refused refused) {
            metrics.countRefusal(refused.cause());
          }
          response.resume(toResponse(value, body));
        },
        WRITERS);
  }

  private static AnswerBody toBody(Answer answer) {
    return switch (answer) {
      case Answer.Complete complete -> AnswerBody.complete(complete.results());
      case Answer.Failed failed -> AnswerBody.failed(failed.reason());
      case Answer.Refused refused ->
          AnswerBody.refused(
              refused.cause(),
              refused.reason(),
              refused.retryAfterMs() > 0 ? refused.retryAfterMs() : null);
      case Answer.Unknown unknown -> AnswerBody.unknown(unknown.reason(), unknown.retryAfterMs());
      case Answer.Running running ->
          AnswerBody.running(
              running.finishedTasks() < 0 ? null : running.finishedTasks(), running.taskCount());
      case Answer.NotFound notFound -> AnswerBody.notFound();
    };
  }

  private static Response toResponse(Answer answer, AnswerBody body) {
    Response.ResponseBuilder response = Response.status(statusOf(answer)).entity(body);
    if (body.retryAfterMs() != null) {
      // The header counts whole seconds; the body says it in milliseconds.
      long seconds = (body.retryAfterMs() + 999) / 1_000;
      response.header(HttpHeaders.RETRY_AFTER, seconds);
    }
    return response.build();
  }

  private static int statusOf(Answer answer) {
    return switch (answer) {
      case Answer.Complete complete -> Response.Status.OK.getStatusCode();
      case Answer.Failed failed -> Response.Status.BAD_GATEWAY.getStatusCode();
      case Answer.Refused refused -> statusOf(refused.cause());
      case Answer.Unknown unknown -> Response.Status.GATEWAY_TIMEOUT.getStatusCode();
      case Answer.Running running -> Response.Status.ACCEPTED.getStatusCode();
      case Answer.NotFound notFound -> Response.Status.NOT_FOUND.getStatusCode();
    };
  }

  private static int statusOf(String cause) {
    return switch (cause) {
      case "CONFLICT" -> Response.Status.CONFLICT.getStatusCode();
      case "TOO_OLD" -> Response.Status.GONE.getStatusCode();
      case "IN_FUTURE", "DEADLINE_PASSED", "DEADLINE_TOO_FAR" ->
          Response.Status.BAD_REQUEST.getStatusCode();
      case "QUEUE_FULL", "DEADLINE" -> TOO_MANY_REQUESTS;
      default -> Response.Status.SERVICE_UNAVAILABLE.getStatusCode();
    };
  }
}
