package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class AdaptiveTimeoutTest {
  @Test
  public void quickAnswersMakeItShort() {
    AdaptiveTimeout times = new AdaptiveTimeout();
    long initialMs = times.timeoutMs();
    for (int i = 0; i < 50; i++) {
      times.recordResponse(1 + i % 2);
    }
    assertTrue(times.timeoutMs() < initialMs);
    assertEquals(times.timeoutMs(), 20);
  }

  @Test
  public void slowAnswersMakeItLongWithABound() {
    AdaptiveTimeout times = new AdaptiveTimeout();
    for (int i = 0; i < 50; i++) {
      times.recordResponse(i % 2 == 0 ? 20 : 40);
    }
    assertTrue(times.timeoutMs() > 40);
    for (int i = 0; i < 50; i++) {
      times.recordResponse(5_000);
    }
    assertEquals(times.timeoutMs(), 120);
  }

  @Test
  public void lossesDoubleItUntilTheNextAnswer() {
    AdaptiveTimeout times = new AdaptiveTimeout();
    times.recordResponse(1);
    times.recordLoss(0);
    assertEquals(times.timeoutMs(), 40);
    times.recordLoss(0);
    assertEquals(times.timeoutMs(), 80);
    times.recordResponse(1);
    assertEquals(times.timeoutMs(), 20);
  }
}
