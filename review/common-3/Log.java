import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with milliseconds since the start. */
final class Log implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Log(Path file) throws IOException {
    this.out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String who, String what) {
    out.printf("%7d %s: %s%n", nowMs(), who, what);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
