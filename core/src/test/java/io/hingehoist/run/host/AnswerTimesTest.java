package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class AnswerTimesTest {
  @Test
  public void quickAnswersMakeItShort() {
    AnswerTimes times = new AnswerTimes();
    long firstMs = times.timeoutMs();
    for (int i = 0; i < 50; i++) {
      times.noteAnswer(1 + i % 2);
    }
    assertTrue(times.timeoutMs() < firstMs);
    assertEquals(times.timeoutMs(), 20);
  }

  @Test
  public void slowAnswersMakeItLongWithABound() {
    AnswerTimes times = new AnswerTimes();
    for (int i = 0; i < 50; i++) {
      times.noteAnswer(i % 2 == 0 ? 20 : 40);
    }
    assertTrue(times.timeoutMs() > 40);
    for (int i = 0; i < 50; i++) {
      times.noteAnswer(5_000);
    }
    assertEquals(times.timeoutMs(), 120);
  }

  @Test
  public void lossesDoubleItUntilTheNextAnswer() {
    AnswerTimes times = new AnswerTimes();
    times.noteAnswer(1);
    times.noteLoss(0);
    assertEquals(times.timeoutMs(), 40);
    times.noteLoss(0);
    assertEquals(times.timeoutMs(), 80);
    times.noteAnswer(1);
    assertEquals(times.timeoutMs(), 20);
  }
}
