package io.hingehoist.run.host;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class FencingTokenTest {
  private static final int RESTARTS_IN_YEARS = 10_000;

  /**
   * Guards against an overflow at the 54th raise: a negative token made the worker refuse its host
   * permanently.
   */
  @Test
  public void theTokenRisesAtEachWorkerRestartWithoutOverflow() {
    FencingToken token = new FencingToken(1_800_000_000_000L);
    for (int restart = 1; restart <= RESTARTS_IN_YEARS; restart++) {
      long before = token.value();
      token.raise();
      assertTrue(token.value() > before, "restart " + restart + ": " + token.value());
    }
  }
}
