package io.hingehoist.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

public final class ReconnectDelayTest {

  @Test
  public void theDelayDoublesWithEachEarlyCloseUpToItsMaximum() {
    ReconnectDelay delay = ReconnectDelay.create(new Random(7));
    long expectedMs = ReconnectDelay.RETRY_DELAY_MS;
    for (int i = 0; i < 10; i++) {
      long delayMs = delay.afterClose(0);
      assertTrue(delayMs >= expectedMs / 2 && delayMs <= expectedMs, delayMs + " ms");
      expectedMs = Math.min(ReconnectDelay.MAX_DELAY_MS, 2 * expectedMs);
    }
  }

  @Test
  public void aConnectionThatWasOpenForLongIsReplacedAtOnce() {
    ReconnectDelay delay = ReconnectDelay.create(new Random(7));
    delay.afterClose(0);
    delay.afterClose(0);
    assertEquals(delay.afterClose(ReconnectDelay.EARLY_CLOSE_MS), 0);
    assertTrue(delay.afterClose(0) <= ReconnectDelay.RETRY_DELAY_MS);
  }
}
