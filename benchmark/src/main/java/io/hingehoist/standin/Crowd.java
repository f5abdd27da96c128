package io.hingehoist.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Connections to one address, opened at once, each of which sends the same bytes, reads nothing and
 * stays open. Thread-safe.
 */
public final class Crowd implements AutoCloseable {
  private static final long SELECT_TIMEOUT_MS = 100;
  private static final long TRICKLE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Selector selector = Selector.open();
  private final List<SocketChannel> channels = new ArrayList<>();
  private final Thread sender = new Thread(this::sendAll, "crowd");
  private volatile long lastProgressNanos = System.nanoTime();
  private volatile boolean closed;
  private volatile boolean trickles;
  private long trickledAtNanos;
  private long lastUnreadBytes;

  private Crowd() throws IOException {}

  /**
   * Opens the connections and starts to send.
   *
   * @param pieces supplies the buffers that a connection sends, in order; the buffers may be shared
   *     and are not changed
   */
  public static Crowd open(String address, int connections, Supplier<Iterator<ByteBuffer>> pieces)
      throws IOException {
    Crowd crowd = new Crowd();
    int colon = address.lastIndexOf(':');
    InetSocketAddress target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    for (int i = 0; i < connections; i++) {
      crowd.connect(target, new Remaining(pieces.get()));
    }
    crowd.sender.start();
    return crowd;
  }

  private void connect(InetSocketAddress target, Remaining remaining) throws IOException {
    SocketChannel channel = SocketChannel.open();
    channels.add(channel);
    channel.configureBlocking(false);
    channel.connect(target);
    channel.register(selector, SelectionKey.OP_CONNECT, remaining);
  }

  /** The bytes that a connection has not sent yet. */
  private static final class Remaining {
    private final Iterator<ByteBuffer> pieces;
    private ByteBuffer current = ByteBuffer.allocate(0);

    private Remaining(Iterator<ByteBuffer> pieces) {
      this.pieces = pieces;
    }

    /** Writes until all is sent or the socket accepts no more; returns whether all is sent. */
    private boolean writeTo(SocketChannel channel) throws IOException {
      while (current.hasRemaining() || pieces.hasNext()) {
        if (!current.hasRemaining()) {
          current = pieces.next().duplicate();
        }
        channel.write(current);
        if (current.hasRemaining()) {
          return false;
        }
      }
      return true;
    }
  }

  /** Makes each connection send one more byte each second from now on. */
  public void trickle() {
    trickles = true;
  }

  private void sendAll() {
    try {
      while (!closed) {
        selector.select(this::send, SELECT_TIMEOUT_MS);
        if (trickles && System.nanoTime() - trickledAtNanos >= TRICKLE_NANOS) {
          trickledAtNanos = System.nanoTime();
          channels.forEach(Crowd::sendByte);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void sendByte(SocketChannel channel) {
    try {
      channel.write(ByteBuffer.wrap(new byte[] {'x'}));
    } catch (IOException e) {
      // The process has closed the connection.
    }
  }

  private void send(SelectionKey key) {
    lastProgressNanos = System.nanoTime();
    SocketChannel channel = (SocketChannel) key.channel();
    try {
      if (key.isConnectable()) {
        channel.finishConnect();
        key.interestOps(SelectionKey.OP_WRITE);
      } else if (((Remaining) key.attachment()).writeTo(channel)) {
        key.interestOps(0);
      }
    } catch (IOException e) {
      // The process has refused or closed the connection.
      key.cancel();
    }
  }

  /**
   * Returns whether for a while no connection has sent or was closed, and the process has read
   * nothing. Called repeatedly by one thread.
   *
   * @param unreadBytes the bytes that have arrived at the process and were not read yet
   */
  public boolean isSettled(long unreadBytes) {
    if (unreadBytes != lastUnreadBytes) {
      lastUnreadBytes = unreadBytes;
      lastProgressNanos = System.nanoTime();
    }
    return System.nanoTime() - lastProgressNanos >= QUIET_NANOS;
  }

  /** Closes all connections. */
  @Override
  public void close() throws IOException {
    closed = true;
    selector.wakeup();
    try {
      sender.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    selector.close();
    for (SocketChannel channel : channels) {
      channel.close();
    }
  }
}
