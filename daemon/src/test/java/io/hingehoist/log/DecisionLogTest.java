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
  public void writesOneLineOfJsonADecision() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DecisionLog log = DecisionLog.start("n", new PrintStream(bytes, true, StandardCharsets.UTF_8));
    log.write(decision(1));
    log.close();
    String line = bytes.toString(StandardCharsets.UTF_8);
    assertTrue(line.contains("\"node\":\"n\",\"event\":\"runOver\",\"job\":\"j1\""), line);
    assertTrue(line.contains("\"outcome\":\"say \\\"why\\\" \""), line);
    assertEquals(line.lines().filter(l -> !l.isBlank()).count(), 1);
  }

  /** The writer takes the first line and waits for more; a close in that time ended without it. */
  @Test
  public void closingWritesTheLineThatTheWriterHasTaken() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DecisionLog log = DecisionLog.start("n", new PrintStream(bytes, true, StandardCharsets.UTF_8));
    log.write(decision(1));
    // Lets the writer take the line; where it has not, the close finds it waiting.
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    log.close();
    assertTrue(bytes.toString(StandardCharsets.UTF_8).contains("\"job\":\"j1\""));
  }

  /** A reader that takes nothing holds up the writer thread, and nobody else. */
  @Test
  public void aBurstBeforeAReaderThatStandsStillIsDroppedAndCounted() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    OutputStream stuck =
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
    DecisionLog log = DecisionLog.start("n", new PrintStream(stuck, true, StandardCharsets.UTF_8));
    for (int i = 0; i < BURST; i++) {
      log.write(decision(i));
    }
    assertTrue(log.droppedCount() > 0);
    release.countDown();
    log.close();
  }
}
