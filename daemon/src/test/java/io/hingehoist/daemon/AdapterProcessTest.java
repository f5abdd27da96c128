package io.hingehoist.daemon;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public final class AdapterProcessTest {
  private static final long MB = 1024 * 1024;

  /** Every control process ended when it was sent a configuration that its heap could not hold. */
  @Test
  public void theLargestConfigurationDependsOnTheHeap() {
    assertEquals(AdapterProcess.maxOperatorBodyBytes(64 * MB), 2 * MB);
    assertEquals(AdapterProcess.maxOperatorBodyBytes(2_048 * MB), 8 * MB);
  }
}
