package io.hingehoist.wire;

import io.hingehoist.limits.BodyBuffer;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.Hello;
import io.hingehoist.message.KeepAlive;
import io.hingehoist.message.Message;
import io.hingehoist.metrics.Metrics;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A connection with one thread that reads frames and one that writes them. Thread-safe.
 *
 * <p>A frame that is too long or can't be decoded is counted and closes the connection. If the peer
 * reads so slowly that the send queue fills up, the connection is closed, and the peer has to
 * reconnect and catch up.
 */
public final class FrameConnection implements MessageSink, AutoCloseable {
  /** The version of the protocol; processes with different versions can't communicate. */
  public static final int PROTOCOL_VERSION = 1;

  /** The maximum length of a frame, in bytes. */
  public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  private static final int BUFFER_BYTES = 8 * 1024;
  private static final AtomicLong NEXT_ID = new AtomicLong();

  private final long id = NEXT_ID.incrementAndGet();
  private final Socket socket;
  private final FrameHandler handler;
  private final Metrics metrics;
  private final BlockingQueue<Message> sendQueue;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Thread reader;
  private final Thread writer;
  private final FrameMemory memory;
  private volatile long lastReceivedAtMs = nowMs();

  private FrameConnection(
      Socket socket,
      FrameHandler handler,
      Metrics metrics,
      ThreadFactory threads,
      int maxQueuedFrames,
      FrameMemory.Source memorySource) {
    this.socket = socket;
    this.handler = handler;
    this.metrics = metrics;
    this.sendQueue = new LinkedBlockingQueue<>(maxQueuedFrames);
    this.reader = threads.newThread(this::readFrames);
    this.writer = threads.newThread(this::writeFrames);
    this.memory = memorySource.of(this);
  }

  /** Starts to read from and write to a connected socket, which the connection then owns. */
  public static FrameConnection start(
      Socket socket,
      FrameHandler handler,
      Metrics metrics,
      ThreadFactory threads,
      int maxQueuedFrames)
      throws IOException {
    return start(
        socket, handler, metrics, threads, maxQueuedFrames, connection -> FrameMemory.UNLIMITED);
  }

  /** Starts a connection whose unfinished frames are limited. */
  static FrameConnection start(
      Socket socket,
      FrameHandler handler,
      Metrics metrics,
      ThreadFactory threads,
      int maxQueuedFrames,
      FrameMemory.Source memorySource)
      throws IOException {
    socket.setTcpNoDelay(true);
    FrameConnection connection =
        new FrameConnection(socket, handler, metrics, threads, maxQueuedFrames, memorySource);
    connection.reader.start();
    connection.writer.start();
    return connection;
  }

  /** Returns the time of the monotonic clock of {@link #lastReceivedAtMs}, in milliseconds. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Returns when the last frame was received, or if none was, when the connection was created. */
  long lastReceivedAtMs() {
    return lastReceivedAtMs;
  }

  /** Returns an id that is unique among the connections of this process. */
  public long id() {
    return id;
  }

  @Override
  public boolean isOpen() {
    return !closed.get();
  }

  /** Queues a message, or closes the connection if the queue is full. */
  @Override
  public boolean send(Message message) {
    if (closed.get()) {
      return false;
    }
    if (!sendQueue.offer(message)) {
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
      memory.connectionClosed();
      handler.onClosed(this);
    }
  }

  private void readFrame(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length <= 0 || length > MAX_FRAME_BYTES) {
      metrics.countBadFrame();
      throw new IOException(
          "frame length: value " + length + " is not allowed; allowed: 1 to " + MAX_FRAME_BYTES);
    }
    Message message = decode(readBody(in, length));
    memory.frameEnded();
    lastReceivedAtMs = nowMs();
    metrics.countReceived(message, length);
    if (message instanceof Hello hello) {
      memory.memberKnown(hello);
    }
    if (message instanceof KeepAlive keepAlive) {
      answerKeepAlive(keepAlive);
    } else {
      handler.onMessage(this, message);
    }
  }

  private void answerKeepAlive(KeepAlive keepAlive) {
    if (keepAlive.asks()) {
      send(new KeepAlive(false));
    }
  }

  /** Reads a body in pieces, so that a length without a body does not cause a large allocation. */
  private Bytes readBody(DataInputStream in, int length) throws IOException {
    BodyBuffer body = BodyBuffer.create(length);
    for (int remaining = length; remaining > 0; ) {
      byte[] piece = in.readNBytes(Math.min(remaining, BUFFER_BYTES));
      if (piece.length == 0) {
        throw new IOException("connection closed before the end of a frame");
      }
      memory.append(body, ByteBuffer.wrap(piece));
      remaining -= piece.length;
    }
    return Bytes.copyOf(body.toBytes());
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
        Message message = sendQueue.take();
        while (message != null) {
          writeFrame(out, message);
          message = sendQueue.poll();
        }
        out.flush();
      }
    } catch (IOException e) {
      close();
    } catch (InterruptedException e) {
      // Interrupted by close().
    }
  }

  private void writeFrame(DataOutputStream out, Message message) throws IOException {
    Bytes body = message.toBytes();
    out.writeInt(body.size());
    body.writeTo(out);
    metrics.countSent(message, body.size());
  }

  /** Closes the connection and drops queued messages. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    writer.interrupt();
    try {
      socket.close();
    } catch (IOException e) {
      // There is nothing left to do for a socket that can't be closed.
    }
  }
}
