package io.hingehoist.loop;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public final class SleepDetectorTest {
  @Test
  public void detectsASleepByTheJumpOfTheTimeOfDay() {
    SleepDetector detector = SleepDetector.at(1_000, 900_000);
    assertEquals(detector.sleptMs(1_050, 900_050), 0);
    assertEquals(detector.sleptMs(1_100, 903_100), 3_000);
    assertEquals(detector.sleptMs(1_150, 903_150), 0);
  }

  @Test
  public void driftOrSettingBackTheTimeOfDayIsNoSleep() {
    SleepDetector detector = SleepDetector.at(1_000, 900_000);
    assertEquals(detector.sleptMs(2_000, 901_010), 0);
    assertEquals(detector.sleptMs(2_050, 899_000), 0);
    assertEquals(detector.sleptMs(2_100, 899_050), 0);
  }

  @Test
  public void aPauseInWhichBothClocksAdvanceIsNoSleep() {
    SleepDetector detector = SleepDetector.at(1_000, 900_000);
    assertEquals(detector.sleptMs(9_000, 908_000), 0);
  }

  @Test
  public void shortSleepsInASeriesAddUpToASleep() {
    SleepDetector detector = SleepDetector.at(1_000, 900_000);
    assertEquals(detector.sleptMs(1_010, 900_090), 0);
    assertEquals(detector.sleptMs(1_020, 900_180), 160);
    assertEquals(detector.sleptMs(1_030, 900_190), 0);
  }

  @Test
  public void driftInManySmallStepsIsNoSleep() {
    SleepDetector detector = SleepDetector.at(1_000, 900_000);
    for (long ms = 0; ms <= 100_000; ms += 10) {
      assertEquals(detector.sleptMs(1_000 + ms, 900_000 + ms + ms / 200), 0);
    }
  }
}
