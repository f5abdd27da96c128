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
 * Writes decisions as lines of JSON, without ever holding up who makes them: lines wait in a queue
 * of fixed size for a thread that writes them, and are dropped and counted when it is full.
 * Thread-safe.
 */
public final class DecisionLog implements AutoCloseable {
  private static final int MAX_WAITING = 8_192;

  /** For a reader that takes nothing: a process that ends waits no longer for its log. */
  private static final long CLOSE_WAIT_MS = 1_000;

  private static final long WRITE_PERIOD_NANOS = 200_000_000;

  private final String node;
  private final PrintStream out;
  private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer;
  private long reportedDrops;
  private volatile boolean closed;

  private DecisionLog(String node, PrintStream out) {
    this.node = node;
    this.out = out;
    this.writer = new Thread(this::writeLines, "log");
    this.writer.setDaemon(true);
  }

  /** Starts a log. */
  public static DecisionLog start(String node, PrintStream out) {
    DecisionLog log = new DecisionLog(node, out);
    log.writer.start();
    return log;
  }

  /** Writes a decision. */
  public void write(Decision decision) {
    if (!waiting.offer(toLine(decision))) {
      dropped.incrementAndGet();
    }
  }

  /** Writes an event that is about no job. */
  public void write(String event, String where, String outcome) {
    write(new Decision(event, "", "", where, outcome));
  }

  /** Returns the number of lines that were dropped because too many waited. */
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
        String first = waiting.take();
        LockSupport.parkNanos(WRITE_PERIOD_NANOS);
        flush(first);
      }
    } catch (InterruptedException e) {
      // Closed by close(), which writes what is left.
    }
  }

  private synchronized void flush(String first) {
    List<String> lines = new ArrayList<>();
    lines.add(first);
    waiting.drainTo(lines);
    long drops = dropped.get();
    if (drops > reportedDrops) {
      lines.add(
          toLine(new Decision("linesDropped", "", "", "", "count=" + (drops - reportedDrops))));
      reportedDrops = drops;
    }
    byte[] bytes = String.join("", lines).getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  /** The writer may hold a line that it took and has not written, often the last of a process. */
  private void awaitWriter() {
    try {
      writer.join(CLOSE_WAIT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes what waits and ends. */
  @Override
  public void close() {
    closed = true;
    writer.interrupt();
    awaitWriter();
    flush("");
  }
}
