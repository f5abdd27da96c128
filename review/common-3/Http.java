import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The little of HTTP/1.1 that the stand-ins need: one request on a connection of its own. */
final class Http {
  /**
   * An answer. The status is 0 if there was none in time, and -1 if the connection was refused or
   * broke.
   */
  record Answer(int status, String body, Map<String, String> headers) {
    String describe() {
      return switch (status) {
        case 0 -> "no answer in time";
        case -1 -> "the connection broke: " + body;
        default -> status + " " + body;
      };
    }
  }

  /** A request that a stand-in received. */
  record Request(String method, String path, Map<String, String> headers, String body) {}

  private Http() {}

  static Answer call(
      String ip, int port, String method, String path, String host, String body, long timeoutMs) {
    return call(ip, port, method, path, host, body, timeoutMs, Map.of());
  }

  static Answer call(
      String ip,
      int port,
      String method,
      String path,
      String host,
      String body,
      long timeoutMs,
      Map<String, String> headers) {
    long endNanos = System.nanoTime() + timeoutMs * 1_000_000;
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(ip, port), (int) timeoutMs);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder head = new StringBuilder();
      head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host);
      head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(bytes.length);
      headers.forEach((name, value) -> head.append("\r\n").append(name).append(": ").append(value));
      head.append("\r\n\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
      all.writeBytes(bytes);
      socket.getOutputStream().write(all.toByteArray());
      socket.getOutputStream().flush();
      return readAnswer(socket, endNanos);
    } catch (SocketTimeoutException e) {
      return new Answer(0, "", Map.of());
    } catch (IOException e) {
      return new Answer(-1, String.valueOf(e.getMessage()), Map.of());
    }
  }

  private static Answer readAnswer(Socket socket, long endNanos) throws IOException {
    InputStream in = new BufferedInputStream(new DeadlineStream(socket, endNanos));
    String line = readLine(in);
    int status = Integer.parseInt(line.split(" ")[1]);
    Map<String, String> headers = readHeaders(in);
    String body = readBody(in, headers);
    return new Answer(status, body, headers);
  }

  /** Reads a request; null at the end of the connection. */
  static Request readRequest(InputStream in) throws IOException {
    String line;
    try {
      line = readLine(in);
    } catch (java.io.EOFException e) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = readHeaders(in);
    return new Request(words[0], words[1], headers, readBody(in, headers));
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    String line;
    while (!(line = readLine(in)).isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return headers;
  }

  private static String readBody(InputStream in, Map<String, String> headers) throws IOException {
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new java.io.EOFException("end of the connection within a body");
    }
    return new String(body, StandardCharsets.UTF_8);
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b;
    while ((b = in.read()) != '\n') {
      if (b < 0) {
        throw new java.io.EOFException("end of the connection");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  static byte[] response(int status, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            .formatted(status, bytes.length);
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
    all.writeBytes(bytes);
    return all.toByteArray();
  }

  /** Reads from a socket until a point in time. */
  private static final class DeadlineStream extends InputStream {
    private final Socket socket;
    private final InputStream in;
    private final long endNanos;

    private DeadlineStream(Socket socket, long endNanos) throws IOException {
      this.socket = socket;
      this.in = socket.getInputStream();
      this.endNanos = endNanos;
    }

    private void limit() throws IOException {
      long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        throw new SocketTimeoutException("no time left");
      }
      socket.setSoTimeout((int) leftMs);
    }

    @Override
    public int read() throws IOException {
      limit();
      return in.read();
    }

    @Override
    public int read(byte[] b, int off, int len) throws IOException {
      limit();
      return in.read(b, off, len);
    }
  }
}
