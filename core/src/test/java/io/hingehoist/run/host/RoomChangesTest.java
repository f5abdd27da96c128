package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The room of a worker shrinks below what runs there, and grows again. */
public final class RoomChangesTest {
  private static final Room LARGE = new Room(2_000, 1_000, 0);
  private static final Room SMALL = new Room(1_000, 1_000, 0);
  private static final RunRef FIRST = new RunRef("j.0.0", 1);
  private static final RunRef SECOND = new RunRef("j.0.1", 1);
  private static final RunRef THIRD = new RunRef("j.0.2", 1);

  private HostFixture host;

  @BeforeMethod
  public void fillTheWorker() {
    host = HostFixture.startedBefore(1_000);
    tell(LARGE, 1, 1_000);
    host.host.sessionBegan(HostFixture.SESSION, "o", 1_000);
    list(1_000, List.of());
    start(1_010, FIRST);
    start(1_011, SECOND);
  }

  private void tell(Room capacity, long version, long nowMs) {
    host.host.workerSeen(HostFixture.worker("w", capacity, version), nowMs);
    host.settle(nowMs);
  }

  private void list(long nowMs, List<RunRef> running, HoldAnswer.Ended... ended) {
    host.list("w", nowMs, running, ended);
  }

  private void start(long nowMs, RunRef run) {
    host.start(HostFixture.SESSION, "w", nowMs, run);
  }

  private long starts() {
    return host.all(HostEffect.CallStart.class).size();
  }

  private boolean isRefused(RunRef run) {
    return host.told(RunNotStarted.class).stream().anyMatch(report -> report.run().equals(run));
  }

  @Test
  public void nothingIsStoppedWhenRoomShrinks() {
    tell(SMALL, 2, 1_020);
    assertEquals(host.all(HostEffect.CallStop.class).size(), 0);
    assertEquals(host.host.runCount(), 2);
  }

  @Test
  public void nothingStartsUntilItFits() {
    tell(SMALL, 2, 1_020);
    list(1_030, List.of(SECOND), new HoldAnswer.Ended(1, FIRST, RunEnd.DONE));
    start(1_040, THIRD);
    assertEquals(isRefused(THIRD), true);
    list(1_050, List.of(), new HoldAnswer.Ended(2, SECOND, RunEnd.DONE));
    start(1_070, THIRD);
    assertEquals(starts(), 1);
  }

  @Test
  public void whatIsBeingStoppedStillCounts() {
    tell(SMALL, 2, 1_020);
    list(1_030, List.of(SECOND), new HoldAnswer.Ended(1, FIRST, RunEnd.DONE));
    host.host.stopRun(HostFixture.SESSION, SECOND, 1_031);
    start(1_040, THIRD);
    assertEquals(isRefused(THIRD), true);
  }

  @Test
  public void roomThatGrowsAgainIsGivenOut() {
    tell(SMALL, 2, 1_020);
    tell(new Room(3_000, 1_000, 0), 3, 1_030);
    start(1_040, THIRD);
    assertEquals(starts(), 1);
  }

  @Test
  public void ownersSeeAChangeOfRoom() {
    tell(SMALL, 2, 1_200);
    HostRows rows = host.told(HostRows.class).getFirst();
    assertEquals(rows.workers().getFirst().capacity(), SMALL);
  }
}
