package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.StopRun;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import io.hingehoist.run.JobPlan;
import io.hingehoist.run.StepPlan;
import io.hingehoist.run.owner.JobOwner;
import io.hingehoist.run.owner.OwnerEffect;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** An owner and a host whose messages cross. */
public final class StopOfRefusedRunTest {
  private static final Room CAPACITY = new Room(1_000, 1_000, 0);
  private static final Room NEED = new Room(1_000, 10, 0);
  private static final RunRef RUN_OF_OTHER_OWNER = new RunRef("k.0.0", 1);
  private static final long OTHER_OWNER_SESSION = 8;

  private final HostFixture fixture = HostFixture.startedLongBefore(1_000);
  private final JobOwner owner = JobOwner.create(HostFixture.TIMING);

  /** The report on the refused run and that on its stop were taken for two runs. */
  @Test
  public void theStopOfARefusedRunDoesNotEndTheRunOfTheSameJobSubmittedAgain() {
    connect();
    fixture.start(OTHER_OWNER_SESSION, "w1", 1_005, RUN_OF_OTHER_OWNER);
    deliverToHost(submit(1_010), 1_010);
    List<Message> reports = reports();
    owner.drop("j", "caller disconnected");
    List<Message> stop = sentByOwner(1_010);
    sendRows("h", 1, 1_011);
    List<Message> secondOrder = submit(1_011);
    PollResult.Ended end = new PollResult.Ended(1, RUN_OF_OTHER_OWNER, RunEnd.DONE);
    fixture.answerPoll("w1", 1_012, List.of(), end);
    deliverToHost(stop, 1_013);
    reports.addAll(reports());
    deliverToHost(secondOrder, 1_014);
    assertEquals(fixture.all(HostEffect.StartCall.class).size(), 1);
    deliverToOwner(reports, 1_015);
    sendRows("other", 0, 1_015);
    assertEquals(startsOf(sentByOwner(1_015)), List.of());
  }

  private void connect() {
    fixture.host.workerHeartbeat(HostFixture.worker("w1", CAPACITY, 1), 1_000);
    fixture.host.sessionOpened(HostFixture.SESSION, "o", 1_000);
    fixture.host.sessionOpened(OTHER_OWNER_SESSION, "p", 1_000);
    fixture.answerPoll("w1", 1_000, List.of());
    owner.sessionOpened("h", "z", 1, true);
    owner.sessionOpened("other", "z", 1, true);
    sendRows("h", 0, 1_000);
  }

  private void sendRows(String host, long lastOrder, long nowMs) {
    String worker = host.equals("h") ? "w1" : "w2";
    WorkerRow row =
        new WorkerRow(worker, "s", "z", List.of(), CAPACITY, CAPACITY, WorkerState.READY, 0);
    owner.hostRowsReceived(host, new HostRows(lastOrder, List.of(row)), nowMs);
  }

  private List<Message> submit(long nowMs) {
    StepPlan step = StepPlan.of(1, NEED, 100);
    owner.submit(new JobPlan("j", "q", "s", "", 0, 3, 10_000, 10_000, List.of(step)), nowMs);
    return sentByOwner(nowMs);
  }

  private List<Message> sentByOwner(long nowMs) {
    owner.place(nowMs);
    return owner.drainEffects().stream()
        .filter(OwnerEffect.SendToHost.class::isInstance)
        .map(effect -> ((OwnerEffect.SendToHost) effect).message())
        .toList();
  }

  private static List<StartRuns> startsOf(List<Message> messages) {
    return messages.stream()
        .filter(StartRuns.class::isInstance)
        .map(StartRuns.class::cast)
        .toList();
  }

  private void deliverToHost(List<Message> messages, long nowMs) {
    for (Message message : messages) {
      switch (message) {
        case StartRuns order -> fixture.host.startRuns(HostFixture.SESSION, order, nowMs);
        case StopRun stop -> fixture.host.stopRun(HostFixture.SESSION, stop.run(), nowMs);
        default -> {}
      }
    }
    fixture.collectEffects(nowMs);
  }

  private List<Message> reports() {
    List<Message> reports = new ArrayList<>(fixture.sent(RunNotStarted.class));
    reports.addAll(fixture.sent(RunEnded.class));
    return reports;
  }

  private void deliverToOwner(List<Message> reports, long nowMs) {
    for (Message report : reports) {
      switch (report) {
        case RunNotStarted refused -> owner.runNotStarted("h", refused, nowMs);
        case RunEnded ended -> owner.runEnded("h", ended, nowMs);
        default -> {}
      }
    }
  }
}
