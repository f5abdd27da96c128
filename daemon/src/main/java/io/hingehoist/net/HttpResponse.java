package io.hingehoist.net;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * An answer to an HTTP request.
 *
 * @param status the status code
 * @param contentType the type of the body
 * @param body the body; not changed afterwards
 * @param retryAfterMs when to come back; empty for no word on it
 * @param location where to ask instead; empty for nowhere else
 */
public record HttpResponse(
    int status,
    String contentType,
    byte[] body,
    OptionalLong retryAfterMs,
    Optional<String> location) {
  private static final String JSON = "application/json";

  /** Returns an answer with a JSON body. */
  public static HttpResponse json(int status, String body) {
    return json(status, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an answer with a JSON body. */
  public static HttpResponse json(int status, byte[] body) {
    return new HttpResponse(status, JSON, body, OptionalLong.empty(), Optional.empty());
  }

  /** Returns an answer with a text body. */
  public static HttpResponse text(int status, String body) {
    return new HttpResponse(
        status,
        "text/plain; charset=utf-8",
        body.getBytes(StandardCharsets.UTF_8),
        OptionalLong.empty(),
        Optional.empty());
  }

  /** Returns an answer that sends the caller to another place. */
  public static HttpResponse redirect(String url) {
    return new HttpResponse(
        307, JSON, "{}".getBytes(StandardCharsets.UTF_8), OptionalLong.empty(), Optional.of(url));
  }

  /** Returns this answer with word on when to come back. */
  public HttpResponse retryAfter(long ms) {
    return new HttpResponse(status, contentType, body, OptionalLong.of(ms), location);
  }
}
