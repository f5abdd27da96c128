package io.hingehoist.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.run.Decision;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.Test;

public final class DecisionLogTest {
  private static final int BURST = 30_000;

  private static Decision decision(int number) {
    return new Decision("runOver", "j" + number, "j" + number + ".0.0", "w", "say \"why\"\n");
  }

  @Test
  public void writesOneJsonLinePerDecision() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DecisionLog log = DecisionLog.start("n", new PrintStream(bytes, true, StandardCharsets.UTF_8));
    log.write(decision(1));
    log.close();
    String line = bytes.toString(StandardCharsets.UTF_8);
    assertTrue(line.contains("\"node\":\"n\",\"event\":\"runOver\",\"job\":\"j1\""), line);
    assertTrue(line.contains("\"outcome\":\"say \\\"why\\\" \""), line);
    assertEquals(line.lines().filter(l -> !l.isBlank()).count(), 1);
  }

  /**
   * Guards against the loss of a line when the log closes while the writer thread holds its first
   * line and waits for further ones.
   */
  @Test
  public void closeWritesTheLineThatTheWriterHolds() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DecisionLog log = DecisionLog.start("n", new PrintStream(bytes, true, StandardCharsets.UTF_8));
    log.write(decision(1));
    // Gives the writer time to remove the line; if it has not, close() finds the line in the queue.
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    log.close();
    assertTrue(bytes.toString(StandardCharsets.UTF_8).contains("\"job\":\"j1\""));
  }

  /** Guards against callers that block because nothing reads the log: only the writer may block. */
  @Test
  public void aBurstWithoutAReaderIsDroppedAndCounted() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    OutputStream blocked =
        new OutputStream() {
          @Override
          public void write(int value) {
            awaitRelease();
          }

          @Override
          public void write(byte[] bytes, int offset, int length) {
            awaitRelease();
          }

          private void awaitRelease() {
            try {
              release.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    DecisionLog log =
        DecisionLog.start("n", new PrintStream(blocked, true, StandardCharsets.UTF_8));
    for (int i = 0; i < BURST; i++) {
      log.write(decision(i));
    }
    assertTrue(log.droppedCount() > 0);
    release.countDown();
    log.close();
  }
}
