package io.hingehoist.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** The header fields of a request, which tell a connection their size as they are parsed. */
final class CountedFields extends DefaultHttpHeaders {
  private final HttpConnection connection;

  private CountedFields(HttpConnection connection) {
    this.connection = connection;
  }

  /** Returns a factory of fields for the requests of a connection. */
  static HttpHeadersFactory factory(HttpConnection connection) {
    return new HttpHeadersFactory() {
      @Override
      public HttpHeaders newHeaders() {
        return new CountedFields(connection);
      }

      @Override
      public HttpHeaders newEmptyHeaders() {
        return new CountedFields(connection);
      }
    };
  }

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    connection.addField(name.length() + value.toString().length());
    return super.add(name, value);
  }

  @Override
  public HttpHeaders add(String name, Object value) {
    connection.addField(name.length() + value.toString().length());
    return super.add(name, value);
  }
}
