package io.hingehoist.loop;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A thread to which the state of a node is confined. It handles the events that other threads put
 * into its queue, in order and in batches, and also wakes at short intervals without events. {@link
 * #add} and {@link #close} are thread-safe.
 *
 * @param <E> the type of events
 */
public final class InboxLoop<E> implements AutoCloseable {
  /** The work of a node. Called on the loop's thread. */
  public interface Node<E> {
    /**
     * Handles events, then performs the work that has become due.
     *
     * @param events the events since the last call; may be empty
     * @throws IOException if the node must stop
     */
    void onBatch(List<E> events, long nowMs) throws IOException;

    /**
     * Releases the resources of the node after the last batch.
     *
     * @throws IOException if a resource can't be released
     */
    default void onClosed() throws IOException {}
  }

  private final long pollMs;
  private final int maxBatch;
  private final Node<E> node;
  private final Consumer<Throwable> onFatalError;
  private final Thread thread;
  private final BlockingQueue<E> inbox = new LinkedBlockingQueue<>();
  private volatile boolean closed;

  private InboxLoop(
      String name, long pollMs, int maxBatch, Node<E> node, Consumer<Throwable> onFatalError) {
    this.pollMs = pollMs;
    this.maxBatch = maxBatch;
    this.node = node;
    this.onFatalError = onFatalError;
    this.thread = new Thread(this::run, name);
  }

  /**
   * Creates a loop that runs once {@link #start} is called.
   *
   * @param pollMs the maximum time between two batches
   * @param maxBatch the maximum number of events in a batch
   * @param onFatalError called with an error after which the process must stop
   */
  public static <E> InboxLoop<E> create(
      String name, long pollMs, int maxBatch, Node<E> node, Consumer<Throwable> onFatalError) {
    return new InboxLoop<>(name, pollMs, maxBatch, node, onFatalError);
  }

  /** Returns the time of a monotonic clock, in milliseconds. */
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
      onFatalError.accept(e);
    }
  }

  /** Ends the thread after the current batch, and waits for its end up to a timeout. */
  public void close(long timeoutMs) {
    close();
    try {
      thread.join(timeoutMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the thread after the current batch, without waiting for its end. */
  @Override
  public void close() {
    closed = true;
  }
}
