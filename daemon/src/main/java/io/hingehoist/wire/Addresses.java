package io.hingehoist.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.UnknownHostException;

/** Static helpers for addresses of the form IP number and port. */
public final class Addresses {
  private Addresses() {}

  /** Returns the socket address; an IP number is never looked up in a name service. */
  public static InetSocketAddress toSocketAddress(String address) {
    try {
      return new InetSocketAddress(InetAddress.getByName(host(address)), port(address));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an IP number and port: " + address, e);
    }
  }

  /** Returns the address to open: the first of two unless it is empty. */
  public static String firstNonEmpty(String preferred, String otherwise) {
    return preferred.isEmpty() ? otherwise : preferred;
  }

  /** Returns a socket connected to one address from the IP number of another. */
  public static Socket connect(String to, String from, int timeoutMs) throws IOException {
    Socket socket = new Socket();
    try {
      socket.bind(new InetSocketAddress(InetAddress.getByName(host(from)), 0));
      socket.connect(toSocketAddress(to), timeoutMs);
      return socket;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Returns the part before the port. */
  public static String host(String address) {
    return address.substring(0, address.lastIndexOf(':'));
  }

  /** Returns the port. */
  public static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }
}
