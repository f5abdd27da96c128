package io.hingehoist.worker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.FenceJob;
import io.hingehoist.message.FenceReport;
import io.hingehoist.message.Message;
import io.hingehoist.message.NotStartedReason;
import io.hingehoist.message.RetireJobs;
import io.hingehoist.message.RevokeTask;
import io.hingehoist.message.StartTask;
import io.hingehoist.message.TaskFinished;
import io.hingehoist.message.TaskNotStarted;
import io.hingehoist.message.TaskRunning;
import io.hingehoist.message.TaskState;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class TaskLedgerTest {
  private static final long INCARNATION = 5;
  private static final long ADMITTED_AT_MS = 1_000;
  private static final long CONNECTION = 1;

  private TaskLedger ledger;

  @BeforeMethod
  public void createLedgerWithLease() {
    ledger = TaskLedger.create("w1", INCARNATION, 2);
    ledger.onLease(100, 0);
  }

  private static StartTask start(long jobId, long epoch, int index, int grant) {
    return new StartTask(jobId, epoch, index, grant, INCARNATION, ADMITTED_AT_MS, 1_000, "p");
  }

  private List<LedgerEffect> receive(Message message) {
    return ledger.onMessage(CONNECTION, message, 10);
  }

  private static boolean startsRun(List<LedgerEffect> effects) {
    return effects.stream().anyMatch(effect -> effect instanceof LedgerEffect.Run);
  }

  private static Message firstMessage(List<LedgerEffect> effects) {
    return ((LedgerEffect.Send) effects.getFirst()).message();
  }

  private static NotStartedReason refusalReason(List<LedgerEffect> effects) {
    assertFalse(startsRun(effects));
    return ((TaskNotStarted) firstMessage(effects)).reason();
  }

  private void finish(long jobId, int index) {
    ledger.onRunEnded(new RunKey.JobTask(jobId, index), TaskState.SUCCEEDED, "r", 7);
  }

  @Test
  public void aTaskStartsOnceHoweverOftenItIsGranted() {
    assertTrue(startsRun(receive(start(1, 1, 0, 1))));
    assertEquals(firstMessage(receive(start(1, 1, 0, 2))), new TaskRunning(1, 0));
    finish(1, 0);
    assertEquals(((TaskFinished) firstMessage(receive(start(1, 2, 0, 1)))).result(), "r");
  }

  @Test
  public void grantsOfLowerEpochsAreRefusedAfterAFence() {
    receive(new FenceJob(1, 2, ADMITTED_AT_MS));
    assertEquals(refusalReason(receive(start(1, 1, 0, 1))), NotStartedReason.STALE_EPOCH);
    assertTrue(startsRun(receive(start(1, 2, 0, 1))));
  }

  @Test
  public void aFenceReportListsTheStartedTasks() {
    receive(start(1, 1, 0, 1));
    receive(start(1, 1, 1, 1));
    finish(1, 0);
    FenceReport report = (FenceReport) firstMessage(receive(new FenceJob(1, 2, ADMITTED_AT_MS)));
    assertEquals(report.tasks().size(), 2);
    assertEquals(report.tasks().get(0).state(), TaskState.SUCCEEDED);
    assertEquals(report.tasks().get(1).state(), TaskState.RUNNING);
  }

  @Test
  public void aRevokedGrantNeverStarts() {
    RevokeTask revoke = new RevokeTask(1, 1, 0, 1, ADMITTED_AT_MS);
    assertEquals(refusalReason(receive(revoke)), NotStartedReason.REVOKED);
    assertEquals(refusalReason(receive(start(1, 1, 0, 1))), NotStartedReason.REVOKED);
    assertTrue(startsRun(receive(start(1, 1, 0, 2))));
  }

  @Test
  public void aRefusedGrantNeverStartsLater() {
    receive(start(1, 1, 0, 1));
    receive(start(1, 1, 1, 1));
    assertEquals(refusalReason(receive(start(1, 1, 2, 1))), NotStartedReason.SLOTS_FULL);
    finish(1, 0);
    assertEquals(refusalReason(receive(start(1, 1, 2, 1))), NotStartedReason.REVOKED);
  }

  @Test
  public void aGrantToAnotherIncarnationIsRefused() {
    ledger.renewIncarnation(INCARNATION + 1);
    assertEquals(refusalReason(receive(start(1, 1, 0, 1))), NotStartedReason.WRONG_INCARNATION);
  }

  @Test
  public void nothingStartsWithoutAValidLease() {
    List<LedgerEffect> effects = ledger.onMessage(CONNECTION, start(1, 1, 0, 1), 100);
    assertEquals(refusalReason(effects), NotStartedReason.NO_LEASE);
  }

  @Test
  public void aDrainingAgentStartsNothing() {
    ledger.setDraining(true);
    assertEquals(refusalReason(receive(start(1, 1, 0, 1))), NotStartedReason.DRAINING);
  }

  @Test
  public void grantsOfARetiredJobAreRefused() {
    receive(start(1, 1, 0, 1));
    finish(1, 0);
    receive(new RetireJobs(List.of(1L)));
    assertEquals(refusalReason(receive(start(1, 1, 1, 1))), NotStartedReason.RETIRED);
  }

  @Test
  public void grantsOfAJobOlderThanTheRetentionAreRefused() {
    receive(start(1, 1, 0, 1));
    finish(1, 0);
    receive(new RetireJobs(List.of(1L)));
    ledger.onLease(100, ADMITTED_AT_MS + 1);
    assertEquals(ledger.rememberedJobs(), 0);
    assertEquals(refusalReason(receive(start(1, 1, 0, 1))), NotStartedReason.RETIRED);
  }

  @Test
  public void aTaskWithoutAConnectionToTheBackendServerStartsOnlyUnderALaterGrant() {
    receive(start(1, 1, 0, 1));
    TaskNotStarted answer =
        (TaskNotStarted) firstMessage(ledger.onBackendUnreachable(new RunKey.JobTask(1, 0)));
    assertEquals(answer.reason(), NotStartedReason.BACKEND_UNREACHABLE);
    assertEquals(answer.grantNumber(), 1);
    assertEquals(refusalReason(receive(start(1, 1, 0, 1))), NotStartedReason.REVOKED);
    assertTrue(startsRun(receive(start(1, 1, 0, 2))));
  }

  @Test
  public void anAgentIsSettledOnceItsJobsAreRetired() {
    receive(start(1, 1, 0, 1));
    finish(1, 0);
    assertFalse(ledger.isSettled());
    receive(new RetireJobs(List.of(1L)));
    assertTrue(ledger.isSettled());
  }
}
