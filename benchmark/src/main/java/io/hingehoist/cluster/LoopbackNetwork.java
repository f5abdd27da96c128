package io.hingehoist.cluster;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A loopback network 127.N.0.0/16 that is reserved for one cluster on this machine. A listening
 * socket at a fixed address of the network marks it as reserved. Not thread-safe.
 */
public final class LoopbackNetwork implements AutoCloseable {
  private static final int RESERVATION_PORT = 7_000;
  private static final int NETWORKS = 250;

  private final ServerSocket reservation;
  private final int number;

  private LoopbackNetwork(ServerSocket reservation) {
    this.reservation = reservation;
    this.number = reservation.getInetAddress().getAddress()[1] & 0xff;
  }

  /**
   * Reserves a free network.
   *
   * @throws IOException if all networks are reserved
   */
  public static LoopbackNetwork reserve() throws IOException {
    int first = ThreadLocalRandom.current().nextInt(NETWORKS);
    for (int i = 0; i < NETWORKS; i++) {
      int candidate = 2 + (first + i) % NETWORKS;
      try {
        InetAddress address = InetAddress.getByName("127." + candidate + ".0.1");
        return new LoopbackNetwork(new ServerSocket(RESERVATION_PORT, 1, address));
      } catch (BindException e) {
        // Another cluster has reserved this network.
      }
    }
    throw new IOException("all networks from 127.2.0.0/16 to 127.251.0.0/16 are reserved");
  }

  /**
   * Returns an IP address of this network.
   *
   * @param group from 1 to 255, one for each kind of process
   * @param member from 1 to 254
   */
  public String ip(int group, int member) {
    return "127.%d.%d.%d".formatted(number, group, member);
  }

  /** Releases the network; no process may still be listening on it. */
  @Override
  public void close() throws IOException {
    reservation.close();
  }
}
