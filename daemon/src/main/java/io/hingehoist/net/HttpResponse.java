package io.hingehoist.net;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A response to an HTTP request.
 *
 * @param status the status code
 * @param contentType the content type of the body
 * @param body the body, which must not be modified
 * @param retryAfterMs the delay before a retry; empty for none
 * @param location the URL of a redirect; empty for none
 */
public record HttpResponse(
    int status,
    String contentType,
    byte[] body,
    OptionalLong retryAfterMs,
    Optional<String> location) {
  private static final String JSON = "application/json";

  /** Returns a response with a JSON body. */
  public static HttpResponse json(int status, String body) {
    return json(status, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with a JSON body. */
  public static HttpResponse json(int status, byte[] body) {
    return new HttpResponse(status, JSON, body, OptionalLong.empty(), Optional.empty());
  }

  /** Returns a response with a text body. */
  public static HttpResponse text(int status, String body) {
    return new HttpResponse(
        status,
        "text/plain; charset=utf-8",
        body.getBytes(StandardCharsets.UTF_8),
        OptionalLong.empty(),
        Optional.empty());
  }

  /** Returns a response that redirects the caller to another URL. */
  public static HttpResponse redirect(String url) {
    return new HttpResponse(
        307, JSON, "{}".getBytes(StandardCharsets.UTF_8), OptionalLong.empty(), Optional.of(url));
  }

  /** Returns this response with a delay before a retry. */
  public HttpResponse retryAfter(long delayMs) {
    return new HttpResponse(status, contentType, body, OptionalLong.of(delayMs), location);
  }
}
