package io.hingehoist.run.owner;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class SleepCheckTest {
  private final SleepCheck check = SleepCheck.create();

  @Test
  public void anOwnerGoesOnOnceAHostProvesThatItsSessionGoesOn() {
    long number = check.begin(3, 1_000);
    assertTrue(check.isPending());
    check.proofReceived(number);
    assertFalse(check.isPending());
    assertFalse(check.hasSlept(2_000));
  }

  @Test
  public void withoutAProofInTimeItHasSlept() {
    check.begin(3, 1_000);
    assertFalse(check.hasSlept(1_299));
    assertTrue(check.hasSlept(1_300));
    assertFalse(check.isPending());
  }

  @Test
  public void aProofOfAnEarlierDoubtIsNone() {
    long first = check.begin(3, 1_000);
    check.begin(3, 1_100);
    check.proofReceived(first);
    assertTrue(check.isPending());
  }

  @Test
  public void withoutAnyoneToAskItHasSlept() {
    check.begin(0, 1_000);
    assertTrue(check.hasSlept(1_000));
  }
}
