package io.hingehoist.wire;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.KeepAlive;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One open connection: a thread that reads frames and one that writes them. Thread-safe.
 *
 * <p>A frame that is too long or not a message closes the connection and is counted. So does a peer
 * that reads so slowly that the queue fills up: it has to catch up on a new connection.
 */
public final class FrameConnection implements MessageSink, AutoCloseable {
  /** The version of the messages; processes of different versions do not talk to each other. */
  public static final int PROTOCOL_VERSION = 1;

  /** The longest frame, in bytes. */
  public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  private static final int BUFFER_BYTES = 8 * 1024;
  private static final AtomicLong NEXT_ID = new AtomicLong();

  private final long id = NEXT_ID.incrementAndGet();
  private final Socket socket;
  private final FrameHandler handler;
  private final Metrics metrics;
  private final BlockingQueue<Message> outgoing;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Thread reader;
  private final Thread writer;
  private volatile long heardAtMs = nowMs();

  private FrameConnection(
      Socket socket,
      FrameHandler handler,
      Metrics metrics,
      ThreadFactory threads,
      int maxQueuedFrames) {
    this.socket = socket;
    this.handler = handler;
    this.metrics = metrics;
    this.outgoing = new ArrayBlockingQueue<>(maxQueuedFrames);
    this.reader = threads.newThread(this::readFrames);
    this.writer = threads.newThread(this::writeFrames);
  }

  /** Takes over a connected socket and starts to read and write. */
  public static FrameConnection start(
      Socket socket,
      FrameHandler handler,
      Metrics metrics,
      ThreadFactory threads,
      int maxQueuedFrames)
      throws IOException {
    socket.setTcpNoDelay(true);
    FrameConnection connection =
        new FrameConnection(socket, handler, metrics, threads, maxQueuedFrames);
    connection.reader.start();
    connection.writer.start();
    return connection;
  }

  /** Returns the steady clock of {@link #heardAtMs}, in milliseconds. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Returns when the last frame came, or when the connection was taken over. */
  long heardAtMs() {
    return heardAtMs;
  }

  /** Returns a number that no other connection of this process has. */
  public long id() {
    return id;
  }

  @Override
  public boolean isOpen() {
    return !closed.get();
  }

  /** Queues a message; returns whether it may arrive. A full queue closes the connection. */
  @Override
  public boolean send(Message message) {
    if (closed.get()) {
      return false;
    }
    if (!outgoing.offer(message)) {
      close();
      return false;
    }
    return true;
  }

  private void readFrames() {
    try (DataInputStream in =
        new DataInputStream(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES))) {
      while (!closed.get()) {
        readFrame(in);
      }
    } catch (IOException | RuntimeException e) {
      close();
    } finally {
      close();
      handler.onClosed(this);
    }
  }

  private void readFrame(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length <= 0 || length > MAX_FRAME_BYTES) {
      metrics.countBadFrame();
      throw new IOException("frame of " + length + " bytes, allowed 1 to " + MAX_FRAME_BYTES);
    }
    Message message = decode(readBody(in, length));
    heardAtMs = nowMs();
    metrics.countReceived(message, length);
    if (message instanceof KeepAlive keepAlive) {
      answer(keepAlive);
    } else {
      handler.onMessage(this, message);
    }
  }

  private void answer(KeepAlive keepAlive) {
    if (keepAlive.asks()) {
      send(new KeepAlive(false));
    }
  }

  /** Reads in pieces, so that a length alone makes nobody set memory aside. */
  private static Bytes readBody(DataInputStream in, int length) throws IOException {
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("the connection ended within a frame");
    }
    return Bytes.copyOf(body);
  }

  private Message decode(Bytes body) throws IOException {
    try {
      return Message.fromBytes(body);
    } catch (IOException e) {
      metrics.countBadFrame();
      throw e;
    }
  }

  private void writeFrames() {
    try (DataOutputStream out =
        new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES))) {
      while (!closed.get()) {
        Message message = outgoing.take();
        while (message != null) {
          writeFrame(out, message);
          message = outgoing.poll();
        }
        out.flush();
      }
    } catch (IOException e) {
      close();
    } catch (InterruptedException e) {
      // Closed by close().
    }
  }

  private void writeFrame(DataOutputStream out, Message message) throws IOException {
    Bytes body = message.toBytes();
    out.writeInt(body.size());
    body.writeTo(out);
    metrics.countSent(message, body.size());
  }

  /** Closes the connection; what is queued is dropped. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    writer.interrupt();
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to do for a socket that can't be closed.
    }
  }
}
