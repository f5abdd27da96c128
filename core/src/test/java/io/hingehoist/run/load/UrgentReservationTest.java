package io.hingehoist.run.load;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class UrgentReservationTest {
  private static final int URGENT = 0;
  private static final int MIDDLE = 1;
  private static final int LAST = 2;

  private UrgentReservation reservation;

  @BeforeMethod
  public void urgentWorkCame() {
    reservation = UrgentReservation.ofPercent(10);
    reservation.noteArrival(URGENT, 86, 1_000);
    reservation.noteArrival(MIDDLE, 286, 1_000);
    reservation.noteArrival(LAST, 1_286, 1_000);
  }

  @Test
  public void longWorkLeavesTheLastRoomToUrgentWork() {
    assertTrue(reservation.holdsBack(LAST, false, 0.09, 1_100));
  }

  @Test
  public void whileRoomIsLeftNothingWaits() {
    assertFalse(reservation.holdsBack(LAST, false, 0.11, 1_100));
  }

  @Test
  public void whatIsBegunGoesOn() {
    assertFalse(reservation.holdsBack(LAST, true, 0.0, 1_100));
  }

  @Test
  public void whatIsNotTheLeastUrgentIsNotHeldBack() {
    assertFalse(reservation.holdsBack(MIDDLE, false, 0.0, 1_100));
  }

  @Test
  public void theMostUrgentWorkIsNeverHeldBack() {
    assertFalse(reservation.holdsBack(URGENT, false, 0.0, 1_100));
  }

  @Test
  public void roomIsLentWhileNoUrgentWorkComes() {
    assertFalse(reservation.holdsBack(LAST, false, 0.0, 6_000));
  }

  @Test
  public void withoutTheSettingNothingIsKept() {
    UrgentReservation none = UrgentReservation.ofPercent(0);
    none.noteArrival(URGENT, 86, 1_000);
    none.noteArrival(LAST, 1_286, 1_000);
    assertTrue(none.isNone());
    assertFalse(none.holdsBack(LAST, false, 0.0, 1_100));
  }
}
