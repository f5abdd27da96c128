package io.hingehoist.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Static helpers that find loopback addresses on which nothing listens. */
public final class FreeAddresses {
  private FreeAddresses() {}

  /** Returns an address with a free port. */
  public static String next() throws IOException {
    return "127.0.0.1:" + nextPort();
  }

  /** Returns a free port. */
  public static int nextPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }
}
