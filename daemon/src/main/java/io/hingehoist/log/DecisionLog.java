package io.hingehoist.log;

import io.hingehoist.run.Decision;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Writes decisions as lines of JSON without blocking the caller. Lines wait in a bounded queue for
 * a writer thread; when the queue is full, lines are dropped and counted. Thread-safe.
 */
public final class DecisionLog implements AutoCloseable {
  private static final int MAX_QUEUED_LINES = 8_192;

  /** The maximum wait of an ending process for its log, if nothing reads the log. */
  private static final long CLOSE_TIMEOUT_MS = 1_000;

  private static final long WRITE_INTERVAL_NANOS = 200_000_000;

  private final String node;
  private final PrintStream out;
  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer;
  private long reportedDroppedCount;
  private volatile boolean closed;

  private DecisionLog(String node, PrintStream out) {
    this.node = node;
    this.out = out;
    this.writer = new Thread(this::writeLines, "log");
    this.writer.setDaemon(true);
  }

  /** Starts a log with the name of its node. */
  public static DecisionLog start(String node, PrintStream out) {
    DecisionLog log = new DecisionLog(node, out);
    log.writer.start();
    return log;
  }

  /** Queues a decision for writing, or drops it if the queue is full. */
  public void write(Decision decision) {
    if (!queue.offer(toLine(decision))) {
      dropped.incrementAndGet();
    }
  }

  /** Queues an event that does not refer to a job. */
  public void write(String event, String where, String outcome) {
    write(new Decision(event, "", "", where, outcome));
  }

  /** Returns the number of lines that were dropped because the queue was full. */
  public long droppedCount() {
    return dropped.get();
  }

  private String toLine(Decision decision) {
    StringBuilder line = new StringBuilder(160);
    line.append("{\"atMs\":").append(System.currentTimeMillis());
    append(line, "node", node);
    append(line, "event", decision.event());
    append(line, "job", decision.job());
    append(line, "task", decision.task());
    append(line, "where", decision.where());
    append(line, "outcome", decision.outcome());
    return line.append("}\n").toString();
  }

  private static void append(StringBuilder line, String key, String value) {
    if (value.isEmpty()) {
      return;
    }
    line.append(",\"").append(key).append("\":\"");
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\').append(c);
      } else if (c < ' ') {
        line.append(' ');
      } else {
        line.append(c);
      }
    }
    line.append('"');
  }

  private void writeLines() {
    try {
      while (!closed) {
        String firstLine = queue.take();
        LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
        flush(firstLine);
      }
    } catch (InterruptedException e) {
      // Interrupted by close(), which writes the remaining lines.
    }
  }

  private synchronized void flush(String firstLine) {
    List<String> lines = new ArrayList<>();
    lines.add(firstLine);
    queue.drainTo(lines);
    long droppedNow = dropped.get();
    if (droppedNow > reportedDroppedCount) {
      lines.add(
          toLine(
              new Decision(
                  "linesDropped", "", "", "", "count=" + (droppedNow - reportedDroppedCount))));
      reportedDroppedCount = droppedNow;
    }
    byte[] bytes = String.join("", lines).getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  /**
   * Waits for the writer thread, as it may have removed a line from the queue and not yet written
   * it. That is often the last line of a process.
   */
  private void awaitWriter() {
    try {
      writer.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes the queued lines and ends the writer thread. */
  @Override
  public void close() {
    closed = true;
    writer.interrupt();
    awaitWriter();
    flush("");
  }
}
