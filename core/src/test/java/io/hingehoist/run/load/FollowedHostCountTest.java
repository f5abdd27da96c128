package io.hingehoist.run.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class FollowedHostCountTest {
  private static final int BASE_COUNT = 14;
  private static final int SAMPLES_PER_SECOND = 20;

  private static FollowedHostCount after(double usedHosts, int samples) {
    FollowedHostCount count = FollowedHostCount.of(BASE_COUNT);
    for (int i = 0; i < samples; i++) {
      count.sample(usedHosts);
    }
    return count;
  }

  @Test
  public void anOwnerWithAMeanLoadFollowsTheBaseCount() {
    // The use of one of 14 owners that share 76 nearly full hosts.
    assertEquals(after(4.5, 100 * SAMPLES_PER_SECOND).count(), BASE_COUNT);
  }

  @Test
  public void anOwnerWithTwiceTheLoadFollowsTwiceAsManyWithinSeconds() {
    int count = after(9.3, 3 * SAMPLES_PER_SECOND).count();
    assertTrue(count >= 25 && count <= 28, "follows " + count);
  }

  @Test
  public void returnsToTheBaseCountAfterTheLoad() {
    FollowedHostCount count = after(9.3, 3 * SAMPLES_PER_SECOND);
    for (int i = 0; i < 2 * SAMPLES_PER_SECOND; i++) {
      count.sample(1);
    }
    assertEquals(count.count(), BASE_COUNT);
  }

  @Test
  public void aSmallChangeIsIgnored() {
    FollowedHostCount count = after(9.3, 10 * SAMPLES_PER_SECOND);
    int before = count.count();
    for (int i = 0; i < SAMPLES_PER_SECOND; i++) {
      count.sample(i % 2 == 0 ? 9.5 : 9.1);
    }
    assertEquals(count.count(), before);
  }

  @Test
  public void anOwnerThatFollowsAllHostsContinuesToDoSo() {
    FollowedHostCount count = FollowedHostCount.of(Integer.MAX_VALUE);
    count.sample(200);
    assertEquals(count.count(), Integer.MAX_VALUE);
  }
}
