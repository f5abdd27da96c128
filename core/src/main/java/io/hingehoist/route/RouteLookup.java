package io.hingehoist.route;

import java.util.function.Consumer;

/**
 * The wait of one request for its route, from {@link RouteLookups#begin} to its result. Each object
 * is a lookup of its own, also if host and path are the same.
 */
public final class RouteLookup {

  /** The result of a lookup. */
  public sealed interface Result {
    /** The route is in force. */
    record Found(Route route) implements Result {}

    /** The newest configuration has no such route. */
    record NotFound() implements Result {}

    /**
     * The newest configuration could not be read. The request is refused and was not carried out.
     */
    record Unavailable(String reason) implements Result {}

    /** The caller may have sent the request to another owner, so it gets no response. */
    record Dropped(String reason) implements Result {}
  }

  private final String host;
  private final String path;
  private final Consumer<Result> result;

  private RouteLookup(String host, String path, Consumer<Result> result) {
    this.host = host;
    this.path = path;
    this.result = result;
  }

  /**
   * Returns a lookup that has not begun.
   *
   * @param host the host of the request
   * @param path the path of the request
   * @param result accepts the result, at most once
   */
  public static RouteLookup of(String host, String path, Consumer<Result> result) {
    return new RouteLookup(host, path, result);
  }

  /** Returns the host of the request. */
  public String host() {
    return host;
  }

  /** Returns the path of the request. */
  public String path() {
    return path;
  }

  void complete(Result value) {
    result.accept(value);
  }
}
