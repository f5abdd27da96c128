import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start of the record. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();
  private int broken;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long ms() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String text) {
    out.printf("%7d %s%n", ms(), text);
    out.flush();
  }

  /** Notes that the rule was broken. */
  synchronized void broken(String text) {
    broken++;
    add("BROKEN " + text);
  }

  synchronized int brokenCount() {
    return broken;
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
