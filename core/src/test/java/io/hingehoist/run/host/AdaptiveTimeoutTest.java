package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class AdaptiveTimeoutTest {
  @Test
  public void fastResponsesShortenTheTimeout() {
    AdaptiveTimeout timeout = new AdaptiveTimeout();
    long initialMs = timeout.timeoutMs();
    for (int i = 0; i < 50; i++) {
      timeout.recordResponse(1 + i % 2);
    }
    assertTrue(timeout.timeoutMs() < initialMs);
    assertEquals(timeout.timeoutMs(), 20);
  }

  @Test
  public void slowResponsesLengthenTheTimeoutUpToTheMaximum() {
    AdaptiveTimeout timeout = new AdaptiveTimeout();
    for (int i = 0; i < 50; i++) {
      timeout.recordResponse(i % 2 == 0 ? 20 : 40);
    }
    assertTrue(timeout.timeoutMs() > 40);
    for (int i = 0; i < 50; i++) {
      timeout.recordResponse(5_000);
    }
    assertEquals(timeout.timeoutMs(), 120);
  }

  @Test
  public void lossesDoubleTheTimeoutUntilTheNextResponse() {
    AdaptiveTimeout timeout = new AdaptiveTimeout();
    timeout.recordResponse(1);
    timeout.recordLoss(0);
    assertEquals(timeout.timeoutMs(), 40);
    timeout.recordLoss(0);
    assertEquals(timeout.timeoutMs(), 80);
    timeout.recordResponse(1);
    assertEquals(timeout.timeoutMs(), 20);
  }
}
