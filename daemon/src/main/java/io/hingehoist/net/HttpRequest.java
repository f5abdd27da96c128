package io.hingehoist.net;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** A complete HTTP request. */
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

  /** Returns the path without the query. */
  public String path() {
    return path;
  }

  /** Returns the first value of a header, or empty if the header is missing. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the host of the {@code Host} header without the port; empty if there is none. */
  public String host() {
    String host = headers.get("Host", "");
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  /** Returns the body, which must not be modified. */
  public byte[] body() {
    return body;
  }
}
