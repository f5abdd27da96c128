package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Estimates off by 0.4, three runs in a hundred up to seven times as long as their like. */
public final class PaceEstimatorTest {
  private static final long ESTIMATE_MS = 200;

  private static PaceEstimator after(int ends, double pace, long seed) {
    Random random = new Random(seed);
    PaceEstimator meter = new PaceEstimator();
    for (int i = 0; i < ends; i++) {
      double off = Math.exp(0.4 * random.nextGaussian());
      double tail = random.nextInt(100) < 3 ? 7 : 1;
      meter.recordSuccess((long) (ESTIMATE_MS * pace * off * tail), ESTIMATE_MS);
    }
    return meter;
  }

  @Test
  public void thirtyEndsTellSlowWorkersFromFastOnes() {
    for (long seed = 1; seed <= 50; seed++) {
      int slow = after(30, 1 / 0.6, seed).percent();
      int fast = after(30, 1 / 1.6, seed).percent();
      assertTrue(slow > 130 && slow < 230, "seed " + seed + " slow " + slow);
      assertTrue(fast > 45 && fast < 85, "seed " + seed + " fast " + fast);
    }
  }

  @Test
  public void fewEndsTellNothing() {
    assertEquals(after(11, 1, 1).percent(), 0);
  }

  @Test
  public void whatIsToldStaysWhileThePaceMovesLittle() {
    PaceEstimator meter = after(300, 1, 1);
    int sent = meter.percent();
    int changes = 0;
    for (int i = 0; i < 300; i++) {
      meter.recordSuccess(ESTIMATE_MS + (i % 2 == 0 ? 60 : -45), ESTIMATE_MS);
      if (meter.percent() != sent) {
        sent = meter.percent();
        changes++;
      }
    }
    assertTrue(changes <= 1, "told " + changes + " times");
  }

  @Test
  public void aMachineOfAnotherKindIsKnownWithinSomeHundredEnds() {
    PaceEstimator meter = after(300, 1, 1);
    for (int i = 0; i < 400; i++) {
      meter.recordSuccess((long) (ESTIMATE_MS / 0.6), ESTIMATE_MS);
    }
    assertTrue(meter.percent() > 140, "pace " + meter.percent());
  }
}
