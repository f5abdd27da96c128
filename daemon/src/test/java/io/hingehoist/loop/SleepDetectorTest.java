package io.hingehoist.loop;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public final class SleepDetectorTest {
  private long monotonicMs;
  private long timeOfDayMs;
  private Runnable betweenReadings;
  private SleepDetector detector;

  private SleepDetector detectorAt(long newMonotonicMs, long newTimeOfDayMs) {
    monotonicMs = newMonotonicMs;
    timeOfDayMs = newTimeOfDayMs;
    betweenReadings = () -> {};
    return SleepDetector.of(this::readMonotonicMs, () -> timeOfDayMs);
  }

  private long readMonotonicMs() {
    long readMs = monotonicMs;
    betweenReadings.run();
    return readMs;
  }

  private long sleptMs(long newMonotonicMs, long newTimeOfDayMs) {
    monotonicMs = newMonotonicMs;
    timeOfDayMs = newTimeOfDayMs;
    return detector.sleptMs();
  }

  @Test
  public void detectsASleepByTheJumpOfTheTimeOfDay() {
    detector = detectorAt(1_000, 900_000);
    assertEquals(sleptMs(1_050, 900_050), 0);
    assertEquals(sleptMs(1_100, 903_100), 3_000);
    assertEquals(sleptMs(1_150, 903_150), 0);
  }

  @Test
  public void driftOrSettingBackTheTimeOfDayIsNoSleep() {
    detector = detectorAt(1_000, 900_000);
    assertEquals(sleptMs(2_000, 901_010), 0);
    assertEquals(sleptMs(2_050, 899_000), 0);
    assertEquals(sleptMs(2_100, 899_050), 0);
  }

  @Test
  public void aPauseInWhichBothClocksAdvanceIsNoSleep() {
    detector = detectorAt(1_000, 900_000);
    assertEquals(sleptMs(9_000, 908_000), 0);
  }

  @Test
  public void shortSleepsInASeriesAddUpToASleep() {
    detector = detectorAt(1_000, 900_000);
    assertEquals(sleptMs(1_010, 900_090), 0);
    assertEquals(sleptMs(1_020, 900_180), 160);
    assertEquals(sleptMs(1_030, 900_190), 0);
  }

  @Test
  public void driftInManySmallStepsIsNoSleep() {
    detector = detectorAt(1_000, 900_000);
    for (long ms = 0; ms <= 100_000; ms += 10) {
      assertEquals(sleptMs(1_000 + ms, 900_000 + ms + ms / 200), 0);
    }
  }

  @Test
  public void aPauseBetweenTheReadingsHidesNoLaterSleep() {
    detector = detectorAt(1_000, 900_000);
    betweenReadings = () -> advanceOnce(400, 400);
    detector.sleptMs();
    assertEquals(sleptMs(1_400, 900_700), 300);
  }

  @Test
  public void aPauseBetweenTheReadingsIsNoSleep() {
    detector = detectorAt(1_000, 900_000);
    betweenReadings = () -> advanceOnce(400, 400);
    assertEquals(detector.sleptMs(), 0);
  }

  @Test
  public void aSleepBetweenTheReadingsIsDetected() {
    detector = detectorAt(1_000, 900_000);
    betweenReadings = () -> advanceOnce(0, 300);
    assertEquals(detector.sleptMs(), 300);
    assertEquals(sleptMs(1_050, 900_350), 0);
  }

  private void advanceOnce(long newMonotonicMs, long newTimeOfDayMs) {
    betweenReadings = () -> {};
    monotonicMs += newMonotonicMs;
    timeOfDayMs += newTimeOfDayMs;
  }
}
