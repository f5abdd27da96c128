package io.hingehoist.quorum;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.RoutesRequest;
import io.hingehoist.net.EventLoop;
import io.hingehoist.route.RouteTable;
import io.hingehoist.route.RouteTableHistory;
import io.hingehoist.wire.MessageSink;

/**
 * Tells owners, part by part, what a replica's newest committed configuration changes for them. The
 * text is turned into routes once, on the event loop, so that the thread of the log goes on.
 * Thread-safe.
 */
public final class RouteFeed {
  /** Reads a committed text. */
  @FunctionalInterface
  public interface Reader {
    /** Returns the routes of a configuration that was accepted. */
    RouteTable toRoutes(long version, Bytes configuration);
  }

  private final EventLoop loop;
  private final String document;
  private final Reader reader;

  /** Owned by the event loop. */
  private final RouteTableHistory archive = RouteTableHistory.create();

  private RouteFeed(EventLoop loop, String document, Reader reader) {
    this.loop = loop;
    this.document = document;
    this.reader = reader;
  }

  /** Returns the feed of a document of the log that holds routes. */
  public static RouteFeed of(EventLoop loop, String document, Reader reader) {
    return new RouteFeed(loop, document, reader);
  }

  /** Takes a committed document. Requests that come after are answered from it. */
  void onDocument(String name, long version, Bytes content) {
    if (name.equals(document)) {
      loop.execute(() -> archive.add(reader.toRoutes(version, content)));
    }
  }

  /** Answers a request, unless nothing newer is known than what the sender holds. */
  void onRequest(MessageSink sender, RoutesRequest request) {
    loop.execute(() -> archive.answer(request).ifPresent(sender::send));
  }
}
