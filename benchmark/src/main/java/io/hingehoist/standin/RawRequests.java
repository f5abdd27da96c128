package io.hingehoist.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The bytes of HTTP requests, whole or unfinished, that a connection sends piece by piece. Requests
 * of one kind share their buffers. Immutable.
 */
public final class RawRequests {
  private static final int PIECE_BYTES = 64 * 1024;

  private final String host;

  private RawRequests(String host) {
    this.host = host;
  }

  /** Returns a factory of requests with a Host field. */
  public static RawRequests to(String host) {
    return new RawRequests(host);
  }

  /** Returns a request whose body ends before the announced length. */
  public Supplier<Iterator<ByteBuffer>> announced(
      String requestLine, long announcedBytes, long sentBytes, int pieceBytes) {
    ByteBuffer head = ascii(head(requestLine) + "Content-Length: " + announcedBytes + "\r\n\r\n");
    return () -> concat(List.of(head), bodyPieces(sentBytes, pieceBytes));
  }

  /** Returns a request with a chunked body that does not end. */
  public Supplier<Iterator<ByteBuffer>> chunked(
      String requestLine, long sentBytes, int chunkBytes) {
    ByteBuffer head = ascii(head(requestLine) + "Transfer-Encoding: chunked\r\n\r\n");
    String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
    int chunksInPiece = Math.max(1, PIECE_BYTES / chunk.length());
    ByteBuffer piece = ascii(chunk.repeat(chunksInPiece));
    long pieces = sentBytes / ((long) chunkBytes * chunksInPiece);
    return () -> concat(List.of(head), repeated(piece, pieces));
  }

  /** Returns whole requests without a body, one after the other. */
  public Supplier<Iterator<ByteBuffer>> repeatedWhole(String requestLine, int requests) {
    ByteBuffer request = ascii(head(requestLine) + "\r\n");
    return () -> repeated(request, requests).iterator();
  }

  /** Returns a head of one long field that does not end. */
  public Supplier<Iterator<ByteBuffer>> unfinishedHead(String requestLine, int headBytes) {
    String start = head(requestLine) + "X-Filler: ";
    ByteBuffer head = ascii(start + "x".repeat(headBytes - start.length()));
    return () -> List.of(head).iterator();
  }

  /** Returns a whole head of many short fields, and the body without its last byte. */
  public Supplier<Iterator<ByteBuffer>> manyFields(String requestLine, int headBytes) {
    String start = head(requestLine) + "Content-Length: 2\r\n";
    String field = "a:b\r\n";
    int fields = (headBytes - start.length()) / field.length();
    ByteBuffer bytes = ascii(start + field.repeat(fields) + "\r\nx");
    return () -> List.of(bytes).iterator();
  }

  /** Returns a request whose body is one text field of a JSON object, before its end. */
  public Supplier<Iterator<ByteBuffer>> unfinishedText(
      String requestLine, int announcedBytes, int missingBytes) {
    String start = "{\"payload\":\"";
    ByteBuffer head =
        ascii(
            head(requestLine)
                + "Content-Type: application/json\r\nContent-Length: "
                + announcedBytes
                + "\r\n\r\n"
                + start);
    long textBytes = announcedBytes - missingBytes - start.length();
    return () -> concat(List.of(head), bodyPieces(textBytes, PIECE_BYTES));
  }

  /** Returns a whole request whose body is a JSON object with a list of empty objects. */
  public Supplier<Iterator<ByteBuffer>> emptyObjects(String requestLine, int bodyBytes) {
    String start = "{\"list\":[{}";
    String end = "]}";
    String element = ",{}";
    int elements = (bodyBytes - start.length() - end.length()) / element.length();
    String body = start + element.repeat(elements) + end;
    ByteBuffer request =
        ascii(
            head(requestLine)
                + "Content-Type: application/json\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body);
    return () -> List.of(request).iterator();
  }

  /** Returns nothing: the connection is opened and stays silent. */
  public static Supplier<Iterator<ByteBuffer>> none() {
    return Collections::emptyIterator;
  }

  /** Returns the start of a head, up to the Host field. */
  public String head(String methodAndPath) {
    return methodAndPath + " HTTP/1.1\r\nHost: " + host + "\r\n";
  }

  private static Stream<ByteBuffer> bodyPieces(long bytes, int pieceBytes) {
    ByteBuffer piece = ascii("x".repeat(pieceBytes));
    ByteBuffer last = piece.slice(0, (int) (bytes % pieceBytes));
    return Stream.concat(repeated(piece, bytes / pieceBytes), Stream.of(last));
  }

  private static Stream<ByteBuffer> repeated(ByteBuffer piece, long times) {
    return IntStream.range(0, Math.toIntExact(times)).mapToObj(i -> piece);
  }

  private static Iterator<ByteBuffer> concat(List<ByteBuffer> first, Stream<ByteBuffer> rest) {
    return Stream.concat(first.stream(), rest).iterator();
  }

  /** Returns the bytes of a text. */
  public static ByteBuffer ascii(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)).asReadOnlyBuffer();
  }
}
