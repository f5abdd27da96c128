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

  private HostFixture fixture;

  @BeforeMethod
  public void fillTheWorker() {
    fixture = HostFixture.startedBefore(1_000);
    tell(LARGE, 1, 1_000);
    fixture.host.sessionOpened(HostFixture.SESSION, "o", 1_000);
    answerPoll(1_000, List.of());
    start(1_010, FIRST);
    start(1_011, SECOND);
  }

  private void tell(Room capacity, long version, long nowMs) {
    fixture.host.workerHeartbeat(HostFixture.worker("w", capacity, version), nowMs);
    fixture.collectEffects(nowMs);
  }

  private void answerPoll(long nowMs, List<RunRef> running, PollResult.Ended... ended) {
    fixture.answerPoll("w", nowMs, running, ended);
  }

  private void start(long nowMs, RunRef run) {
    fixture.start(HostFixture.SESSION, "w", nowMs, run);
  }

  private long starts() {
    return fixture.all(HostEffect.StartCall.class).size();
  }

  private boolean isRefused(RunRef run) {
    return fixture.sent(RunNotStarted.class).stream().anyMatch(report -> report.run().equals(run));
  }

  @Test
  public void nothingIsStoppedWhenRoomShrinks() {
    tell(SMALL, 2, 1_020);
    assertEquals(fixture.all(HostEffect.StopCall.class).size(), 0);
    assertEquals(fixture.host.runCount(), 2);
  }

  @Test
  public void nothingStartsUntilItFits() {
    tell(SMALL, 2, 1_020);
    answerPoll(1_030, List.of(SECOND), new PollResult.Ended(1, FIRST, RunEnd.DONE));
    start(1_040, THIRD);
    assertEquals(isRefused(THIRD), true);
    answerPoll(1_050, List.of(), new PollResult.Ended(2, SECOND, RunEnd.DONE));
    start(1_070, THIRD);
    assertEquals(starts(), 1);
  }

  @Test
  public void whatIsBeingStoppedStillCounts() {
    tell(SMALL, 2, 1_020);
    answerPoll(1_030, List.of(SECOND), new PollResult.Ended(1, FIRST, RunEnd.DONE));
    fixture.host.stopRun(HostFixture.SESSION, SECOND, 1_031);
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
    HostRows rows = fixture.sent(HostRows.class).getFirst();
    assertEquals(rows.workers().getFirst().capacity(), SMALL);
  }
}
