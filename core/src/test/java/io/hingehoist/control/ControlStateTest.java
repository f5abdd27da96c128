package io.hingehoist.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.command.AdmissionRefused;
import io.hingehoist.command.AdmitJob;
import io.hingehoist.command.Admitted;
import io.hingehoist.command.AdvanceClock;
import io.hingehoist.command.AlreadyEnded;
import io.hingehoist.command.Attached;
import io.hingehoist.command.ChangeAgentState;
import io.hingehoist.command.ChangeSettings;
import io.hingehoist.command.Command;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.CompleteJob;
import io.hingehoist.command.EndEntry;
import io.hingehoist.command.JobOutcome;
import io.hingehoist.command.MemberAccepted;
import io.hingehoist.command.MemberRefused;
import io.hingehoist.command.OutcomeCommitted;
import io.hingehoist.command.OutcomeStale;
import io.hingehoist.command.OutcomeStatus;
import io.hingehoist.command.RefusalReason;
import io.hingehoist.command.RegisterAgent;
import io.hingehoist.command.RegisterEntry;
import io.hingehoist.command.SettingsAccepted;
import io.hingehoist.command.SettingsRefusalReason;
import io.hingehoist.command.SettingsRefused;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.OwnedJob;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ControlStateTest {
  private static final long START_MS = 1_000_000;

  private ControlState state;
  private long index;
  private long nowMs;

  @BeforeMethod
  public void registerTwoEntries() {
    state = ControlState.create();
    index = 0;
    nowMs = START_MS;
    apply(new RegisterEntry("entry-1", 1, "", "z1"));
    apply(new RegisterEntry("entry-2", 1, "", "z2"));
  }

  private CommandResult apply(Command command) {
    return state.apply(new LogEntry(1, ++index, EntryKind.COMMAND, nowMs, command.toBytes()));
  }

  private AdmitJob admitJob(String id, String payload, String entry) {
    return admitJob(id, payload, entry, START_MS);
  }

  private static AdmitJob admitJob(String id, String payload, String entry, long submittedAtMs) {
    Bytes digest = Bytes.copyOf(payload.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    return new AdmitJob(
        "caller",
        id,
        submittedAtMs,
        digest,
        "porting",
        "default",
        "team",
        submittedAtMs + 30_000,
        List.of(payload),
        entry,
        1);
  }

  private static JobOutcome completeOutcome(String result) {
    return new JobOutcome(OutcomeStatus.COMPLETE, "", List.of(result));
  }

  private static RefusalReason reasonOf(CommandResult result) {
    return ((AdmissionRefused) result).reason();
  }

  @Test
  public void theSameSubmissionAtAnotherEntryAttachesToTheRunningJob() {
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    assertEquals(apply(admitJob("s", "p", "entry-2")), new Attached(first.jobId(), "entry-1"));
  }

  @Test
  public void theSameSubmissionAfterTheEndGetsTheStoredAnswer() {
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    apply(new CompleteJob(first.jobId(), 1, completeOutcome("r")));
    assertEquals(
        apply(admitJob("s", "p", "entry-2")),
        new AlreadyEnded(first.jobId(), completeOutcome("r")));
  }

  @Test
  public void theSameIdWithAnotherPayloadIsRefused() {
    apply(admitJob("s", "p", "entry-1"));
    assertEquals(reasonOf(apply(admitJob("s", "other", "entry-1"))), RefusalReason.CONFLICT);
  }

  @Test
  public void aSubmissionOlderThanTheRetentionIsRefusedAndNotRunAgain() {
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    apply(new CompleteJob(first.jobId(), 1, completeOutcome("r")));
    nowMs += 700_000;
    apply(new AdvanceClock(600_000));
    assertEquals(state.jobCount(), 0);
    assertEquals(reasonOf(apply(admitJob("s", "p", "entry-1"))), RefusalReason.TOO_OLD);
  }

  @Test
  public void aLongerRetentionDoesNotReadmitADeletedSubmission() {
    nowMs += 700_000;
    apply(new AdvanceClock(600_000));
    apply(new AdvanceClock(6_000_000));
    assertEquals(reasonOf(apply(admitJob("s", "p", "entry-1"))), RefusalReason.TOO_OLD);
  }

  @Test
  public void theClockNeverGoesBack() {
    nowMs += 700_000;
    apply(new AdvanceClock(600_000));
    nowMs = START_MS;
    assertEquals(reasonOf(apply(admitJob("s", "p", "entry-1"))), RefusalReason.TOO_OLD);
  }

  @Test
  public void timesOutOfRangeAreRefused() {
    assertEquals(
        reasonOf(apply(admitJob("s", "p", "entry-1", START_MS + 100_000))),
        RefusalReason.IN_FUTURE);
    nowMs += 40_000;
    assertEquals(reasonOf(apply(admitJob("s", "p", "entry-1"))), RefusalReason.DEADLINE_PASSED);
  }

  @Test
  public void anEndedEntryAdmitsNothing() {
    apply(new EndEntry("entry-1", 1, "test"));
    assertEquals(reasonOf(apply(admitJob("s", "p", "entry-1"))), RefusalReason.ENTRY_NOT_LIVE);
  }

  @Test
  public void anEndedEntrysJobIsReassignedUnderAHigherEpoch() {
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    apply(new EndEntry("entry-1", 1, "test"));
    assertEquals(
        state.jobsAdoptedBy("entry-2", 1, List.of()), List.of(new OwnedJob(first.jobId(), 2)));
    assertEquals(
        apply(new CompleteJob(first.jobId(), 1, completeOutcome("old"))), new OutcomeStale(2));
    assertEquals(
        apply(new CompleteJob(first.jobId(), 2, completeOutcome("new"))), new OutcomeCommitted());
    assertEquals(state.job(first.jobId()).get().outcome(), Optional.of(completeOutcome("new")));
  }

  @Test
  public void aJobWithoutALiveEntryIsAssignedToTheNextRegisteredEntry() {
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    apply(new EndEntry("entry-2", 1, "test"));
    apply(new EndEntry("entry-1", 1, "test"));
    apply(new RegisterEntry("entry-3", 1, "", "z3"));
    assertEquals(state.jobsAdoptedBy("entry-3", 1, List.of()).getFirst().jobId(), first.jobId());
  }

  @Test
  public void aRestartedEntrysJobsAreFencedFromItsPreviousIncarnation() {
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    apply(new RegisterEntry("entry-1", 2, "", "z1"));
    assertTrue(state.job(first.jobId()).get().epoch() > 1);
  }

  @Test
  public void aSecondOutcomeDoesNotReplaceTheFirst() {
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    apply(new CompleteJob(first.jobId(), 1, completeOutcome("first")));
    apply(new CompleteJob(first.jobId(), 1, completeOutcome("second")));
    assertEquals(state.job(first.jobId()).get().outcome(), Optional.of(completeOutcome("first")));
  }

  private static ChangeSettings change(String id, long base, String value) {
    return new ChangeSettings(
        id, base, "/porting", "taskTimeoutMs", Optional.of(value), "operator");
  }

  private static SettingsRefusalReason refusalOf(CommandResult result) {
    return ((SettingsRefused) result).reason();
  }

  @Test
  public void aResentChangeGetsTheFirstAnswerAndAppliesOnce() {
    assertEquals(apply(change("c1", 0, "1000")), new SettingsAccepted(1));
    apply(change("c2", 1, "2000"));
    assertEquals(apply(change("c1", 0, "1000")), new SettingsAccepted(1));
    assertEquals(state.settings().revision(), 2);
  }

  @Test
  public void theSameChangeIdWithOtherContentIsAConflict() {
    apply(change("c1", 0, "1000"));
    assertEquals(
        refusalOf(apply(change("c1", 1, "2000"))), SettingsRefusalReason.CHANGE_ID_CONFLICT);
  }

  @Test
  public void theSecondOfTwoChangesOnTheSameBaseIsRefused() {
    apply(change("c1", 0, "1000"));
    assertEquals(refusalOf(apply(change("c2", 0, "2000"))), SettingsRefusalReason.STALE_BASE);
  }

  @Test
  public void refusedChangesAreRecordedInTheAuditTrail() {
    apply(change("c1", 0, "1"));
    assertEquals(state.audit().getLast().accepted(), false);
    assertTrue(state.audit().getLast().reason().contains("10..600000"));
  }

  @Test
  public void settingsUpdatesAreIncrementalOrAFullSnapshot() {
    for (int i = 0; i < 1_500; i++) {
      apply(change("c" + i, i, String.valueOf(1_000 + i)));
    }
    assertEquals(state.settingsSince(1_499).get().entries().size(), 1);
    assertTrue(state.settingsSince(3).get().snapshot());
    assertTrue(state.settingsSince(1_500).isEmpty());
  }

  private RegisterAgent registerAgent(long incarnation) {
    return new RegisterAgent("w1", incarnation, "127.0.0.1:1", "z1", "porting", 8, 64);
  }

  @Test
  public void anAgentThatEndedIsReportedAsLostForRunningJobs() {
    apply(registerAgent(1));
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    apply(new ChangeAgentState("w1", 1, MemberState.GONE, "missedHeartbeats", "control"));
    assertEquals(state.agentsLostSince(state.job(first.jobId()).get()), List.of("w1"));
    assertEquals(((MemberRefused) apply(registerAgent(1))).currentIncarnation(), 1);
    assertEquals(apply(registerAgent(2)), new MemberAccepted());
  }

  @Test
  public void anAgentAfterAPlannedStopIsNotReportedAsLost() {
    apply(registerAgent(1));
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    apply(new ChangeAgentState("w1", 1, MemberState.DRAINING, "plannedStop", "w1"));
    apply(new ChangeAgentState("w1", 1, MemberState.GONE, "plannedStop", "w1"));
    assertEquals(state.agentsLostSince(state.job(first.jobId()).get()), List.of());
  }

  @Test
  public void anOperatorsDrainSurvivesARestartOfTheAgent() {
    apply(registerAgent(1));
    apply(new ChangeAgentState("w1", 0, MemberState.DRAINING, "operator", "kim"));
    apply(registerAgent(2));
    assertEquals(state.agent("w1").get().info().state(), MemberState.DRAINING);
  }

  @Test
  public void aSnapshotHoldsTheWholeState() throws IOException {
    apply(registerAgent(1));
    apply(registerAgent(2));
    apply(change("c1", 0, "1000"));
    Admitted first = (Admitted) apply(admitJob("s", "p", "entry-1"));
    apply(new CompleteJob(first.jobId(), 1, completeOutcome("r")));
    apply(admitJob("t", "q", "entry-2"));
    ControlState copy = ControlState.fromBytes(state.toBytes());
    assertEquals(copy.toBytes(), state.toBytes());
    assertEquals(copy.settings().revision(), 1);
    state = copy;
    assertEquals(apply(change("c1", 0, "1000")), new SettingsAccepted(1));
    assertEquals(
        apply(admitJob("s", "p", "entry-2")),
        new AlreadyEnded(first.jobId(), completeOutcome("r")));
  }
}
