package io.hingehoist.run.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class FollowedHostCountTest {
  private static final int USUAL = 14;
  private static final int ONE_SECOND = 20;

  private static FollowedHostCount after(double takenHosts, int looks) {
    FollowedHostCount count = FollowedHostCount.of(USUAL);
    for (int i = 0; i < looks; i++) {
      count.sample(takenHosts);
    }
    return count;
  }

  @Test
  public void anOwnerWithItsShareOfTheCallersFollowsTheUsualNumber() {
    // One of 14 owners of 76 hosts that are nearly full.
    assertEquals(after(4.5, 100 * ONE_SECOND).count(), USUAL);
  }

  @Test
  public void anOwnerWithTwiceItsShareFollowsTwiceAsManyWithinSomeSeconds() {
    int count = after(9.3, 3 * ONE_SECOND).count();
    assertTrue(count >= 25 && count <= 28, "follows " + count);
  }

  @Test
  public void itReturnsToTheUsualNumberOnceItsLoadIsOver() {
    FollowedHostCount count = after(9.3, 3 * ONE_SECOND);
    for (int i = 0; i < 2 * ONE_SECOND; i++) {
      count.sample(1);
    }
    assertEquals(count.count(), USUAL);
  }

  @Test
  public void aSmallChangeIsNotToldToHosts() {
    FollowedHostCount count = after(9.3, 10 * ONE_SECOND);
    int before = count.count();
    for (int i = 0; i < ONE_SECOND; i++) {
      count.sample(i % 2 == 0 ? 9.5 : 9.1);
    }
    assertEquals(count.count(), before);
  }

  @Test
  public void anOwnerThatFollowsAllHostsGoesOnDoingSo() {
    FollowedHostCount count = FollowedHostCount.of(Integer.MAX_VALUE);
    count.sample(200);
    assertEquals(count.count(), Integer.MAX_VALUE);
  }
}
