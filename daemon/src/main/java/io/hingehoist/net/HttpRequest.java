package io.hingehoist.net;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** A whole HTTP request. */
public final class HttpRequest {
  private final String method;
  private final String path;
  private final HttpHeaders headers;
  private final byte[] body;

  HttpRequest(String method, String path, HttpHeaders headers, byte[] body) {
    this.method = method;
    this.path = path;
    this.headers = headers;
    this.body = body;
  }

  /** Returns the method, such as {@code GET}. */
  public String method() {
    return method;
  }

  /** Returns the path, without a query. */
  public String path() {
    return path;
  }

  /** Returns the first value of a header. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the host that the request names, without a port; empty if it names none. */
  public String host() {
    String host = headers.get("Host", "");
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  /** Returns the body. The caller doesn't change it. */
  public byte[] body() {
    return body;
  }
}
