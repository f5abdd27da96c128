package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/**
 * Tests the estimator with estimates that deviate by 0.4 (standard deviation of the logarithm) and
 * with three runs in a hundred that take seven times as long as comparable ones.
 */
public final class PaceEstimatorTest {
  private static final long ESTIMATE_MS = 200;

  private static PaceEstimator estimatorAfter(int runs, double pace, long seed) {
    Random random = new Random(seed);
    PaceEstimator estimator = new PaceEstimator();
    for (int i = 0; i < runs; i++) {
      double deviation = Math.exp(0.4 * random.nextGaussian());
      double tail = random.nextInt(100) < 3 ? 7 : 1;
      estimator.recordSuccess((long) (ESTIMATE_MS * pace * deviation * tail), ESTIMATE_MS);
    }
    return estimator;
  }

  @Test
  public void thirtyRunsDistinguishSlowWorkersFromFastOnes() {
    for (long seed = 1; seed <= 50; seed++) {
      int slow = estimatorAfter(30, 1 / 0.6, seed).percent();
      int fast = estimatorAfter(30, 1 / 1.6, seed).percent();
      assertTrue(slow > 130 && slow < 230, "seed " + seed + " slow " + slow);
      assertTrue(fast > 45 && fast < 85, "seed " + seed + " fast " + fast);
    }
  }

  @Test
  public void noPaceIsReportedAfterFewRuns() {
    assertEquals(estimatorAfter(11, 1, 1).percent(), 0);
  }

  @Test
  public void theReportedPaceIsStableWhileTheEstimateChangesLittle() {
    PaceEstimator estimator = estimatorAfter(300, 1, 1);
    int reported = estimator.percent();
    int changes = 0;
    for (int i = 0; i < 300; i++) {
      estimator.recordSuccess(ESTIMATE_MS + (i % 2 == 0 ? 60 : -45), ESTIMATE_MS);
      if (estimator.percent() != reported) {
        reported = estimator.percent();
        changes++;
      }
    }
    assertTrue(changes <= 1, "reported " + changes + " times");
  }

  @Test
  public void aDifferentKindOfMachineIsDetectedWithinSomeHundredRuns() {
    PaceEstimator estimator = estimatorAfter(300, 1, 1);
    for (int i = 0; i < 400; i++) {
      estimator.recordSuccess((long) (ESTIMATE_MS / 0.6), ESTIMATE_MS);
    }
    assertTrue(estimator.percent() > 140, "pace " + estimator.percent());
  }
}
