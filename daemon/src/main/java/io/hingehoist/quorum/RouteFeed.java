package io.hingehoist.quorum;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.RoutesRequest;
import io.hingehoist.net.EventLoop;
import io.hingehoist.route.RouteTable;
import io.hingehoist.route.RouteTableHistory;
import io.hingehoist.wire.MessageSink;

/**
 * Sends owners, in parts, the changes from the routes that they hold to those of the newest
 * committed configuration. Each configuration is parsed once, on the event loop, so that the
 * control thread is not blocked. Thread-safe.
 */
public final class RouteFeed {
  /** Parses committed configurations. */
  @FunctionalInterface
  public interface Parser {
    /** Returns the routes of an accepted configuration. */
    RouteTable toRoutes(long version, Bytes configuration);
  }

  private final EventLoop loop;
  private final String document;
  private final Parser parser;

  /** Confined to the event loop. */
  private final RouteTableHistory history = RouteTableHistory.create();

  private RouteFeed(EventLoop loop, String document, Parser parser) {
    this.loop = loop;
    this.document = document;
    this.parser = parser;
  }

  /** Returns the feed of the document that holds routes. */
  public static RouteFeed of(EventLoop loop, String document, Parser parser) {
    return new RouteFeed(loop, document, parser);
  }

  /** Adds a committed document, from which later requests are answered. */
  void onDocument(String name, long version, Bytes content) {
    if (name.equals(document)) {
      loop.execute(() -> history.add(parser.toRoutes(version, content)));
    }
  }

  /** Responds to a request, unless the sender already holds the newest version. */
  void onRequest(MessageSink sender, RoutesRequest request) {
    loop.execute(() -> history.answer(request).ifPresent(sender::send));
  }
}
