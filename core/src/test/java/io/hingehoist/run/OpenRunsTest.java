package io.hingehoist.run;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.message.StartRuns;
import java.util.List;
import org.testng.annotations.Test;

public final class OpenRunsTest {
  private static final RunRef ONE = new RunRef("j.0.0", 1);
  private static final RunRef TWO = new RunRef("j.0.1", 1);

  private static StartRuns order(RunRef... runs) {
    return new StartRuns(1, "w", "j", "spec", 100, new Room(1, 1, 0), List.of(runs));
  }

  @Test
  public void aRunIsOpenFromItsOrderUntilItIsReportedOver() {
    OpenRuns runs = OpenRuns.create();
    assertTrue(runs.isEmpty());
    runs.record(order(ONE, TWO));
    runs.record(new RunEnded(ONE, RunEnd.DONE, 5));
    assertFalse(runs.isEmpty());
    runs.record(new RunNotStarted(TWO, RunRefusal.ROOM));
    assertTrue(runs.isEmpty());
  }

  @Test
  public void otherMessagesAndUnknownRunsChangeNothing() {
    OpenRuns runs = OpenRuns.create();
    runs.record(new OwnerBeat(1, true));
    runs.record(new RunEnded(ONE, RunEnd.LOST, 0));
    assertTrue(runs.isEmpty());
    runs.record(order(ONE));
    runs.record(new RunEnded(new RunRef("j.0.0", 2), RunEnd.LOST, 0));
    assertFalse(runs.isEmpty());
  }
}
