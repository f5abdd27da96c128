package io.hingehoist.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * A TCP relay in front of one address, which simulates network faults. It can delay all data, and
 * cut a direction of the connections that come from a source IP address: their data and their ends
 * are held back, as TCP holds them back while all packets are lost, and are delivered late once the
 * link is healed. It can also discard the data of all open connections for good while new
 * connections work, as a middlebox does that has lost their state, and refuse new connections while
 * open ones continue. Thread-safe.
 */
public final class Relay implements AutoCloseable {
  /** The direction of data through a relay. */
  public enum Direction {
    /** From the side that opened the connection to the target. */
    FORWARD,
    /** From the target to the side that opened the connection. */
    BACKWARD
  }

  private record Chunk(byte[] bytes, long dueNanos) {}

  private record Listener(ServerSocket socket, Thread acceptor) {}

  private record Cut(String sourceIp, Direction direction) {}

  private static final String ANY = "*";
  private static final long CUT_POLL_NANOS = 2_000_000;
  private static final int BACKLOG = 1_024;

  private final InetSocketAddress address;
  private final InetSocketAddress target;
  private final Set<Cut> cuts = ConcurrentHashMap.newKeySet();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<Socket> blackholed = ConcurrentHashMap.newKeySet();
  private volatile long delayNanos;
  private volatile boolean closed;

  // Guarded by this.
  private Optional<Listener> listener = Optional.empty();

  // Guarded by this.
  private int refusalCount;

  private Relay(InetSocketAddress address, InetSocketAddress target) {
    this.address = address;
    this.target = target;
  }

  /** Opens a relay that listens on one address and connects to another. */
  public static Relay open(String ip, int port, String targetIp, int targetPort)
      throws IOException {
    Relay relay =
        new Relay(new InetSocketAddress(ip, port), new InetSocketAddress(targetIp, targetPort));
    relay.listen();
    return relay;
  }

  private synchronized void listen() throws IOException {
    ServerSocket socket = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    Thread acceptor = Thread.ofVirtual().start(() -> accept(socket));
    listener = Optional.of(new Listener(socket, acceptor));
  }

  private synchronized void stopListening() throws IOException {
    if (listener.isEmpty()) {
      return;
    }
    Listener stopped = listener.get();
    listener = Optional.empty();
    stopped.socket().close();
    try {
      // The socket may go on listening until its accepting thread has returned from accept().
      stopped.acceptor().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sets the delay of all data in each direction. */
  public void setDelayNanos(long nanos) {
    delayNanos = nanos;
  }

  /** Cuts one direction of the connections that come from an IP address. */
  public void cut(String sourceIp, Direction direction) {
    cuts.add(new Cut(sourceIp, direction));
  }

  /** Cuts both directions of all connections. */
  public void cutAll() {
    cuts.add(new Cut(ANY, Direction.FORWARD));
    cuts.add(new Cut(ANY, Direction.BACKWARD));
  }

  /**
   * Refuses new connections until {@link #acceptConnections} has been called as often as this
   * method. Open connections continue.
   *
   * @throws IOException if the listening socket can't be closed
   */
  public synchronized void refuseConnections() throws IOException {
    refusalCount++;
    stopListening();
  }

  /**
   * Reverts one call of {@link #refuseConnections}. New connections are accepted again once every
   * call is reverted.
   *
   * @throws IOException if the relay can't listen on its address again
   */
  public synchronized void acceptConnections() throws IOException {
    refusalCount--;
    if (refusalCount == 0 && !closed) {
      listen();
    }
  }

  /** Ends all cuts; data that was held back is delivered. */
  public void heal() {
    cuts.clear();
  }

  /** Resets all open connections on both sides. */
  public void resetConnections() {
    for (Socket socket : List.copyOf(sockets)) {
      try {
        // With a linger time of 0, closing the socket sends a reset.
        socket.setSoLinger(true, 0);
      } catch (SocketException e) {
        // The socket is already closed.
      }
      close(socket);
    }
  }

  /**
   * Discards all further data of the connections that are open now; neither side is notified when
   * the other closes the connection. Later connections are not affected.
   */
  public void blackholeConnections() {
    blackholed.addAll(sockets);
  }

  private boolean isCut(String sourceIp, Direction direction) {
    return cuts.contains(new Cut(sourceIp, direction)) || cuts.contains(new Cut(ANY, direction));
  }

  private void accept(ServerSocket serverSocket) {
    while (!closed) {
      try {
        Socket clientSocket = serverSocket.accept();
        Thread.ofVirtual().start(() -> connect(clientSocket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket clientSocket) {
    String source = clientSocket.getInetAddress().getHostAddress();
    Socket targetSocket = new Socket();
    sockets.add(clientSocket);
    sockets.add(targetSocket);
    try {
      clientSocket.setTcpNoDelay(true);
      targetSocket.setTcpNoDelay(true);
      waitWhileCut(source, Direction.FORWARD);
      targetSocket.connect(target);
      startForwarding(clientSocket, targetSocket, source, Direction.FORWARD);
      startForwarding(targetSocket, clientSocket, source, Direction.BACKWARD);
    } catch (IOException e) {
      close(clientSocket, targetSocket);
    }
  }

  private void startForwarding(Socket from, Socket to, String source, Direction direction) {
    LinkedBlockingQueue<Chunk> queue = new LinkedBlockingQueue<>();
    Thread.ofVirtual().start(() -> read(from, to, queue));
    Thread.ofVirtual().start(() -> write(from, to, queue, source, direction));
  }

  private void read(Socket from, Socket to, LinkedBlockingQueue<Chunk> queue) {
    byte[] buffer = new byte[16 * 1024];
    try {
      InputStream in = from.getInputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        queue.add(new Chunk(Arrays.copyOf(buffer, count), System.nanoTime() + delayNanos));
        count = in.read(buffer);
      }
    } catch (IOException e) {
      // The connection has ended; the empty chunk below tells the writer.
    }
    queue.add(new Chunk(new byte[0], System.nanoTime() + delayNanos));
  }

  private void write(
      Socket from,
      Socket to,
      LinkedBlockingQueue<Chunk> queue,
      String source,
      Direction direction) {
    try {
      OutputStream out = to.getOutputStream();
      Chunk chunk = queue.take();
      while (chunk.bytes().length > 0) {
        LockSupport.parkNanos(chunk.dueNanos() - System.nanoTime());
        waitWhileCut(source, direction);
        if (!blackholed.contains(to)) {
          out.write(chunk.bytes());
        }
        chunk = queue.take();
      }
      waitWhileCut(source, direction);
    } catch (IOException e) {
      // The receiving side has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (blackholed.contains(to)) {
      close(from);
    } else {
      close(from, to);
    }
  }

  private void waitWhileCut(String source, Direction direction) {
    while (!closed && isCut(source, direction)) {
      LockSupport.parkNanos(CUT_POLL_NANOS);
    }
  }

  private void close(Socket... closing) {
    for (Socket socket : closing) {
      sockets.remove(socket);
      try {
        socket.close();
      } catch (IOException e) {
        // There is no way to recover from a failed close, and the socket is no longer used.
      }
    }
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    stopListening();
    close(sockets.toArray(new Socket[0]));
  }
}
