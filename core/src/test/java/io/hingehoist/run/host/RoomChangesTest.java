package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.run.RunTiming;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The room of a worker shrinks below what runs there, and grows again. */
public final class RoomChangesTest {
  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final Room NEED = new Room(1_000, 10, 0);
  private static final Room LARGE = new Room(2_000, 1_000, 0);
  private static final Room SMALL = new Room(1_000, 1_000, 0);
  private static final long SESSION = 7;
  private static final RunRef FIRST = new RunRef("j.0.0", 1);
  private static final RunRef SECOND = new RunRef("j.0.1", 1);
  private static final RunRef THIRD = new RunRef("j.0.2", 1);

  private final List<HostEffect> effects = new ArrayList<>();
  private WorkerHost host;
  private long order;

  @BeforeMethod
  public void fillTheWorker() {
    long quietMs = TIMING.workerOverAfterMs();
    host = KnownZones.none(WorkerHost.create("h", 1, "z", TIMING, 100, 1_000 - quietMs));
    tell(LARGE, 1, 1_000);
    host.sessionBegan(SESSION, "o", 1_000);
    list(1_000, List.of());
    start(1_010, FIRST);
    start(1_011, SECOND);
  }

  private void tell(Room capacity, long version, long nowMs) {
    host.workerSeen(
        new WorkerInfo("w", "s", "10.0.0.1:1", "z", false, capacity, List.of(), version, 500),
        nowMs);
    settle(nowMs);
  }

  private void settle(long nowMs) {
    host.showRows(nowMs);
    effects.clear();
    effects.addAll(host.takeEffects());
  }

  private void list(long nowMs, List<RunRef> running, HoldAnswer.Ended... ended) {
    host.holdAnswered("w", HoldAnswers.listed(nowMs, running, ended), nowMs);
    settle(nowMs);
  }

  private void start(long nowMs, RunRef run) {
    host.startRuns(SESSION, new StartRuns(++order, "w", "j", "", 100, NEED, List.of(run)), nowMs);
    host.startAnswered("w", run, new StartAnswer.Started(501), nowMs);
    settle(nowMs);
  }

  private long starts() {
    return effects.stream().filter(HostEffect.CallStart.class::isInstance).count();
  }

  private boolean isRefused(RunRef run) {
    return effects.stream()
        .anyMatch(
            effect ->
                effect instanceof HostEffect.ToOwner to
                    && to.message() instanceof RunNotStarted report
                    && report.run().equals(run));
  }

  @Test
  public void nothingIsStoppedWhenRoomShrinks() {
    tell(SMALL, 2, 1_020);
    assertEquals(effects.stream().filter(HostEffect.CallStop.class::isInstance).count(), 0);
    assertEquals(host.runCount(), 2);
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
    host.stopRun(SESSION, SECOND, 1_031);
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
    HostRows rows =
        effects.stream()
            .filter(HostEffect.ToOwner.class::isInstance)
            .map(effect -> ((HostEffect.ToOwner) effect).message())
            .filter(HostRows.class::isInstance)
            .map(HostRows.class::cast)
            .findFirst()
            .orElseThrow();
    assertEquals(rows.workers().getFirst().capacity(), SMALL);
  }
}
