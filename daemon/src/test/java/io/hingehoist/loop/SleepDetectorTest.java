package io.hingehoist.loop;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public final class SleepDetectorTest {
  @Test
  public void aSleepIsTheTimeThatTheSteadyClockLacks() {
    SleepDetector watch = SleepDetector.at(1_000, 900_000);
    assertEquals(watch.sleptMs(1_050, 900_050), 0);
    assertEquals(watch.sleptMs(1_100, 903_100), 3_000);
    assertEquals(watch.sleptMs(1_150, 903_150), 0);
  }

  @Test
  public void aTimeOfDayThatDriftsOrIsSetBackIsNoSleep() {
    SleepDetector watch = SleepDetector.at(1_000, 900_000);
    assertEquals(watch.sleptMs(2_000, 901_010), 0);
    assertEquals(watch.sleptMs(2_050, 899_000), 0);
    assertEquals(watch.sleptMs(2_100, 899_050), 0);
  }

  @Test
  public void aStandstillInWhichBothClocksGoOnIsNoSleep() {
    SleepDetector watch = SleepDetector.at(1_000, 900_000);
    assertEquals(watch.sleptMs(9_000, 908_000), 0);
  }
}
