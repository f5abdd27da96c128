package io.hingehoist.run.owner;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class SleepDoubtTest {
  private final SleepDoubt doubt = SleepDoubt.create();

  @Test
  public void anOwnerGoesOnOnceAHostProvesThatItsSessionGoesOn() {
    long number = doubt.begin(3, 1_000);
    assertTrue(doubt.isOpen());
    doubt.proven(number);
    assertFalse(doubt.isOpen());
    assertFalse(doubt.hasSlept(2_000));
  }

  @Test
  public void withoutAProofInTimeItHasSlept() {
    doubt.begin(3, 1_000);
    assertFalse(doubt.hasSlept(1_299));
    assertTrue(doubt.hasSlept(1_300));
    assertFalse(doubt.isOpen());
  }

  @Test
  public void aProofOfAnEarlierDoubtIsNone() {
    long first = doubt.begin(3, 1_000);
    doubt.begin(3, 1_100);
    doubt.proven(first);
    assertTrue(doubt.isOpen());
  }

  @Test
  public void withoutAnyoneToAskItHasSlept() {
    doubt.begin(0, 1_000);
    assertTrue(doubt.hasSlept(1_000));
  }
}
