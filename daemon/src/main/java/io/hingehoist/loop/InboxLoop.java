package io.hingehoist.loop;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One thread that owns the state of a node: it takes what other threads put into its queue, in
 * order and in batches, and wakes at short intervals without any. {@link #add} and {@link #close}
 * are thread-safe.
 *
 * @param <E> what other threads put in
 */
public final class InboxLoop<E> implements AutoCloseable {
  /** What a node does on its loop. */
  public interface Node<E> {
    /**
     * Takes events, then does what the time has made due.
     *
     * @param events what came since the last call, at times nothing
     * @throws IOException if the node must not go on
     */
    void onBatch(List<E> events, long nowMs) throws IOException;

    /**
     * Frees what the node holds, after the last batch.
     *
     * @throws IOException if that fails
     */
    default void onClosed() throws IOException {}
  }

  private final long pollMs;
  private final int maxBatch;
  private final Node<E> node;
  private final Consumer<Throwable> fatal;
  private final Thread thread;
  private final BlockingQueue<E> inbox = new LinkedBlockingQueue<>();
  private volatile boolean closed;

  private InboxLoop(
      String name, long pollMs, int maxBatch, Node<E> node, Consumer<Throwable> fatal) {
    this.pollMs = pollMs;
    this.maxBatch = maxBatch;
    this.node = node;
    this.fatal = fatal;
    this.thread = new Thread(this::run, name);
  }

  /**
   * Creates a loop that waits for {@link #start}.
   *
   * @param pollMs the longest time between two batches
   * @param maxBatch the largest number of events in one
   * @param fatal gets the error after which the process must not go on
   */
  public static <E> InboxLoop<E> create(
      String name, long pollMs, int maxBatch, Node<E> node, Consumer<Throwable> fatal) {
    return new InboxLoop<>(name, pollMs, maxBatch, node, fatal);
  }

  /** Returns a steady clock in milliseconds. */
  public static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Puts an event into the queue. */
  public void add(E event) {
    inbox.add(event);
  }

  private void run() {
    try {
      List<E> batch = new ArrayList<>();
      while (!closed) {
        E first = inbox.poll(pollMs, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          inbox.drainTo(batch, maxBatch - 1);
        }
        node.onBatch(batch, nowMs());
        batch.clear();
      }
      node.onClosed();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException | RuntimeException | Error e) {
      fatal.accept(e);
    }
  }

  /** Ends the thread after the batch that it works on, and waits for that up to a time. */
  public void close(long patienceMs) {
    close();
    try {
      thread.join(patienceMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the thread after the batch that it works on, without waiting for it. */
  @Override
  public void close() {
    closed = true;
  }
}
