package io.hingehoist.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.UnknownHostException;

/** Static helpers for addresses that consist of an IP address and a port. */
public final class Addresses {
  private Addresses() {}

  /** Returns the socket address. No name service is called for a numeric IP address. */
  public static InetSocketAddress toSocketAddress(String address) {
    try {
      return new InetSocketAddress(InetAddress.getByName(host(address)), port(address));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an IP address and port: " + address, e);
    }
  }

  /** Returns the preferred address unless it is empty, and the fallback otherwise. */
  public static String firstNonEmpty(String preferred, String fallback) {
    return preferred.isEmpty() ? fallback : preferred;
  }

  /** Returns a socket that is bound to the IP address of one address and connected to another. */
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

  /** Returns the IP address, without the port. */
  public static String host(String address) {
    return address.substring(0, address.lastIndexOf(':'));
  }

  /** Returns the port. */
  public static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }
}
