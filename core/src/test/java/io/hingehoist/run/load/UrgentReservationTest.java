package io.hingehoist.run.load;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class UrgentReservationTest {
  private static final int URGENT = 0;
  private static final int MEDIUM = 1;
  private static final int LEAST_URGENT = 2;

  private UrgentReservation reservation;

  @BeforeMethod
  public void recordArrivals() {
    reservation = UrgentReservation.ofPercent(10);
    reservation.recordArrival(URGENT, 86, 1_000);
    reservation.recordArrival(MEDIUM, 286, 1_000);
    reservation.recordArrival(LEAST_URGENT, 1_286, 1_000);
  }

  @Test
  public void longWorkMayNotUseTheReservedRoom() {
    assertTrue(reservation.mustWait(LEAST_URGENT, false, 0.09, 1_100));
  }

  @Test
  public void nothingWaitsWhileEnoughRoomIsFree() {
    assertFalse(reservation.mustWait(LEAST_URGENT, false, 0.11, 1_100));
  }

  @Test
  public void startedJobsAreNotDelayed() {
    assertFalse(reservation.mustWait(LEAST_URGENT, true, 0.0, 1_100));
  }

  @Test
  public void onlyTheLeastUrgentWorkWaits() {
    assertFalse(reservation.mustWait(MEDIUM, false, 0.0, 1_100));
  }

  @Test
  public void theMostUrgentWorkNeverWaits() {
    assertFalse(reservation.mustWait(URGENT, false, 0.0, 1_100));
  }

  @Test
  public void noRoomIsReservedWithoutUrgentArrivals() {
    assertFalse(reservation.mustWait(LEAST_URGENT, false, 0.0, 6_000));
  }

  @Test
  public void withoutTheSettingNothingIsReserved() {
    UrgentReservation none = UrgentReservation.ofPercent(0);
    none.recordArrival(URGENT, 86, 1_000);
    none.recordArrival(LEAST_URGENT, 1_286, 1_000);
    assertTrue(none.isDisabled());
    assertFalse(none.mustWait(LEAST_URGENT, false, 0.0, 1_100));
  }
}
