package io.hingehoist.cluster;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A network 127.N that no other cluster on this machine has: one socket on it stands for it. Not
 * thread-safe.
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
   * Takes a network.
   *
   * @throws IOException if all are taken
   */
  public static LoopbackNetwork reserve() throws IOException {
    int first = ThreadLocalRandom.current().nextInt(NETWORKS);
    for (int i = 0; i < NETWORKS; i++) {
      int candidate = 2 + (first + i) % NETWORKS;
      try {
        InetAddress address = InetAddress.getByName("127." + candidate + ".0.1");
        return new LoopbackNetwork(new ServerSocket(RESERVATION_PORT, 1, address));
      } catch (BindException e) {
        // Another cluster has it.
      }
    }
    throw new IOException("all networks of 127.0.0.0/8 from 127.2 on are taken");
  }

  /**
   * Returns an IP number of this network.
   *
   * @param group 1 to 255, one for each kind of process
   * @param member 1 to 254
   */
  public String ip(int group, int member) {
    return "127.%d.%d.%d".formatted(number, group, member);
  }

  /** Leaves the network to others; nothing may listen on it any more. */
  @Override
  public void close() throws IOException {
    reservation.close();
  }
}
