import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client, the operator or a worker, which carries one request at a time. */
final class Web implements AutoCloseable {
  /** A whole answer. */
  record Answer(int status, String body) {}

  final Socket socket = new Socket();

  Web(String ip, int port, int timeoutMs) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(ip, port), timeoutMs);
    socket.setSoTimeout(timeoutMs);
  }

  void send(String method, String path, String host, String headers, String body)
      throws IOException {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers
            + "Content-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n";
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.write(head.getBytes(StandardCharsets.ISO_8859_1));
    request.write(content);
    socket.getOutputStream().write(request.toByteArray());
    socket.getOutputStream().flush();
  }

  /** Reads an answer; throws an exception if the connection breaks or the time is over. */
  Answer read() throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed");
      }
      head.append((char) next);
    }
    int length = 0;
    for (String line : head.toString().split("\r\n")) {
      if (line.toLowerCase().startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).trim());
      }
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("connection closed within an answer");
    }
    return new Answer(
        Integer.parseInt(head.substring(9, 12)), new String(body, StandardCharsets.UTF_8));
  }

  /** One call on a connection of its own. */
  static Answer call(
      String ip, int port, String method, String path, String host, String body, int timeoutMs)
      throws IOException {
    try (Web web = new Web(ip, port, timeoutMs)) {
      web.send(method, path, host, "", body);
      return web.read();
    }
  }

  /** Resets the connection. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
