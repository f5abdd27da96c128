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
 * A TCP relay in front of one address. It delays what passes, and cuts it by the IP number that a
 * connection comes from: what is cut is held, as by a network that loses everything, and arrives
 * late when the link heals. It can also let open connections fall silent for good while new ones
 * work, as a box between does that has forgotten them, and refuse new connections while open ones
 * go on. Thread-safe.
 */
public final class Relay implements AutoCloseable {
  /** A direction of travel through a relay. */
  public enum Direction {
    /** From the side that opened the connection. */
    FORWARD,
    /** Back to it. */
    BACKWARD
  }

  private record Piece(byte[] bytes, long dueNanos) {}

  private record Listener(ServerSocket socket, Thread acceptor) {}

  private record Cut(String sourceIp, Direction direction) {}

  private static final String ANY = "*";
  private static final long CUT_POLL_NANOS = 2_000_000;
  private static final int BACKLOG = 1_024;

  private final InetSocketAddress address;
  private final InetSocketAddress target;
  private final Set<Cut> cuts = ConcurrentHashMap.newKeySet();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
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

  /** Opens a relay. */
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
      // The socket may listen until the thread that accepts from it has left it.
      stopped.acceptor().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Delays everything by a time in each direction. */
  public void setDelayNanos(long nanos) {
    delayNanos = nanos;
  }

  /** Cuts one direction of the connections that come from an IP number. */
  public void cut(String sourceIp, Direction direction) {
    cuts.add(new Cut(sourceIp, direction));
  }

  /** Cuts both directions of all connections. */
  public void cutAll() {
    cuts.add(new Cut(ANY, Direction.FORWARD));
    cuts.add(new Cut(ANY, Direction.BACKWARD));
  }

  /**
   * Refuses new connections until {@link #acceptConnections} was called as often as this; open ones
   * go on.
   *
   * @throws IOException if the listening socket can't be closed
   */
  public synchronized void refuseConnections() throws IOException {
    refusalCount++;
    stopListening();
  }

  /**
   * Ends one call of {@link #refuseConnections}.
   *
   * @throws IOException if the address can't be opened again
   */
  public synchronized void acceptConnections() throws IOException {
    refusalCount--;
    if (refusalCount == 0 && !closed) {
      listen();
    }
  }

  /** Lets everything pass again that was cut. */
  public void heal() {
    cuts.clear();
  }

  /** Resets every connection that passes, on both sides. */
  public void resetConnections() {
    for (Socket socket : List.copyOf(sockets)) {
      try {
        // With no time to linger, closing sends a reset.
        socket.setSoLinger(true, 0);
      } catch (SocketException e) {
        // It is closed already.
      }
      close(socket);
    }
  }

  /**
   * Lets every connection that passes now fall silent for good: nothing arrives on it any more, and
   * neither side hears that the other closes it. Connections that come later pass.
   */
  public void blackholeConnections() {
    silent.addAll(sockets);
  }

  private boolean isCut(String sourceIp, Direction direction) {
    return cuts.contains(new Cut(sourceIp, direction)) || cuts.contains(new Cut(ANY, direction));
  }

  private void accept(ServerSocket opened) {
    while (!closed) {
      try {
        Socket near = opened.accept();
        Thread.ofVirtual().start(() -> connect(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket near) {
    String source = near.getInetAddress().getHostAddress();
    Socket far = new Socket();
    sockets.add(near);
    sockets.add(far);
    try {
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      waitWhileCut(source, Direction.FORWARD);
      far.connect(target);
      carry(near, far, source, Direction.FORWARD);
      carry(far, near, source, Direction.BACKWARD);
    } catch (IOException e) {
      close(near, far);
    }
  }

  private void carry(Socket from, Socket to, String source, Direction direction) {
    LinkedBlockingQueue<Piece> queue = new LinkedBlockingQueue<>();
    Thread.ofVirtual().start(() -> read(from, to, queue));
    Thread.ofVirtual().start(() -> write(from, to, queue, source, direction));
  }

  private void read(Socket from, Socket to, LinkedBlockingQueue<Piece> queue) {
    byte[] buffer = new byte[16 * 1024];
    try {
      InputStream in = from.getInputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        queue.add(new Piece(Arrays.copyOf(buffer, count), System.nanoTime() + delayNanos));
        count = in.read(buffer);
      }
    } catch (IOException e) {
      // The connection ended; the last piece says so.
    }
    queue.add(new Piece(new byte[0], System.nanoTime() + delayNanos));
  }

  private void write(
      Socket from,
      Socket to,
      LinkedBlockingQueue<Piece> queue,
      String source,
      Direction direction) {
    try {
      OutputStream out = to.getOutputStream();
      Piece piece = queue.take();
      while (piece.bytes().length > 0) {
        LockSupport.parkNanos(piece.dueNanos() - System.nanoTime());
        waitWhileCut(source, direction);
        if (!silent.contains(to)) {
          out.write(piece.bytes());
        }
        piece = queue.take();
      }
    } catch (IOException e) {
      // The far side ended.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (silent.contains(to)) {
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

  private void close(Socket... ended) {
    for (Socket socket : ended) {
      sockets.remove(socket);
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing is left to do for a socket that can't be closed.
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
