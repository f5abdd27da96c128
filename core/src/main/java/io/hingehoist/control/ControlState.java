package io.hingehoist.control;

import io.hingehoist.command.AdmissionRefused;
import io.hingehoist.command.AdmitJob;
import io.hingehoist.command.Admitted;
import io.hingehoist.command.AdvanceClock;
import io.hingehoist.command.AlreadyEnded;
import io.hingehoist.command.Applied;
import io.hingehoist.command.Attached;
import io.hingehoist.command.ChangeAgentState;
import io.hingehoist.command.ChangeSettings;
import io.hingehoist.command.ChangeZone;
import io.hingehoist.command.Command;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.CompleteJob;
import io.hingehoist.command.EndEntry;
import io.hingehoist.command.MemberAccepted;
import io.hingehoist.command.OutcomeCommitted;
import io.hingehoist.command.OutcomeStale;
import io.hingehoist.command.PublishDocument;
import io.hingehoist.command.RefusalReason;
import io.hingehoist.command.RegisterAgent;
import io.hingehoist.command.RegisterEntry;
import io.hingehoist.message.AgentInfo;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.MembersUpdate;
import io.hingehoist.message.OwnedJob;
import io.hingehoist.message.SettingsUpdate;
import io.hingehoist.settings.SettingsTree;
import io.hingehoist.state.AgentRow;
import io.hingehoist.state.AnsweredChangeRow;
import io.hingehoist.state.AuditRow;
import io.hingehoist.state.ClockRow;
import io.hingehoist.state.DocumentRow;
import io.hingehoist.state.EndedAgentRow;
import io.hingehoist.state.EntryRow;
import io.hingehoist.state.EvacuationsRow;
import io.hingehoist.state.JobRow;
import io.hingehoist.state.RevisionRow;
import io.hingehoist.state.SettingRow;
import io.hingehoist.state.StateRow;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * The state that the replicated log builds.
 *
 * <p>{@link #apply} depends on nothing but the entry and the state before it, so every replica
 * holds the same state at the same index. Not thread-safe: the control thread owns it.
 */
public final class ControlState {
  /** How far ahead of the replicated clock a submission time may be. */
  public static final long MAX_CLOCK_SKEW_MS = 60_000;

  private static final long INITIAL_RETENTION_MS = 600_000;

  private final AuditTrail audit = new AuditTrail();
  private final DocumentTable documents = new DocumentTable();
  private final EvacuationTable evacuations = new EvacuationTable(audit);
  private final JobTable jobs = new JobTable();
  private final MemberTable members = new MemberTable(audit, evacuations);
  private final SettingsTable settings = new SettingsTable(audit);
  private long clockMs;
  private long floorMs;
  private long retentionMs = INITIAL_RETENTION_MS;

  private ControlState() {}

  /** Returns the state before the first entry. */
  public static ControlState create() {
    return new ControlState();
  }

  /** Applies one committed entry and returns its result. */
  public CommandResult apply(LogEntry entry) {
    if (entry.kind() != EntryKind.COMMAND) {
      return new Applied();
    }
    clockMs = Math.max(clockMs, entry.stampedAtMs());
    return switch (decode(entry.body())) {
      case AdmitJob command -> admit(command, entry.index());
      case CompleteJob command -> complete(command);
      case RegisterEntry command -> registerEntry(command);
      case EndEntry command -> endEntry(command);
      case RegisterAgent command -> members.register(command, entry.index(), clockMs);
      case ChangeAgentState command -> members.apply(command, entry.index(), clockMs);
      case ChangeSettings command -> settings.apply(command, clockMs);
      case AdvanceClock command -> advanceClock(command);
      case PublishDocument command -> documents.apply(command);
      case ChangeZone command -> changeZone(command);
    };
  }

  private static Command decode(Bytes body) {
    try {
      return Command.fromBytes(body);
    } catch (IOException e) {
      throw new IllegalStateException("a committed command can't be read", e);
    }
  }

  private CommandResult admit(AdmitJob command, long index) {
    Optional<JobRow> known = jobs.find(command.caller(), command.submissionId());
    if (known.isPresent()) {
      return answerResubmission(command, known.get());
    }
    Optional<AdmissionRefused> refusal = refusalOf(command);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    jobs.put(
        new JobRow(
            index,
            1,
            command.caller(),
            command.submissionId(),
            command.submittedAtMs(),
            command.digest(),
            command.service(),
            command.jobClass(),
            command.team(),
            command.deadlineAtMs(),
            clockMs,
            command.payloads().size(),
            command.payloads(),
            command.entryId(),
            command.entryIncarnation(),
            Optional.empty()));
    return new Admitted(index, 1, clockMs);
  }

  private static CommandResult answerResubmission(AdmitJob command, JobRow known) {
    if (!known.digest().equals(command.digest())) {
      return new AdmissionRefused(
          RefusalReason.CONFLICT,
          "submissionId: value \"%s\" stands for another payload; allowed: an unused id"
              .formatted(command.submissionId()));
    }
    if (known.outcome().isPresent()) {
      return new AlreadyEnded(known.jobId(), known.outcome().get());
    }
    boolean resentByOwner =
        known.epoch() == 1
            && known.ownerEntryId().equals(command.entryId())
            && known.ownerIncarnation() == command.entryIncarnation();
    if (resentByOwner) {
      return new Admitted(known.jobId(), known.epoch(), known.admittedAtMs());
    }
    return new Attached(known.jobId(), known.ownerEntryId());
  }

  private Optional<AdmissionRefused> refusalOf(AdmitJob command) {
    long oldestMs = Math.max(floorMs, clockMs - retentionMs);
    if (command.submittedAtMs() < oldestMs) {
      return refused(
          RefusalReason.TOO_OLD,
          "submittedAtMs: value %d is older than the retention; allowed: %d or later"
              .formatted(command.submittedAtMs(), oldestMs));
    }
    if (command.submittedAtMs() > clockMs + MAX_CLOCK_SKEW_MS) {
      return refused(
          RefusalReason.IN_FUTURE,
          "submittedAtMs: value %d is in the future; allowed: at most %d"
              .formatted(command.submittedAtMs(), clockMs + MAX_CLOCK_SKEW_MS));
    }
    if (command.deadlineAtMs() <= clockMs) {
      return refused(
          RefusalReason.DEADLINE_PASSED,
          "deadlineAtMs: value %d is in the past; allowed: later than %d"
              .formatted(command.deadlineAtMs(), clockMs));
    }
    if (command.deadlineAtMs() > clockMs + retentionMs) {
      return refused(
          RefusalReason.DEADLINE_TOO_FAR,
          "deadlineAtMs: value %d is beyond the retention; allowed: at most %d"
              .formatted(command.deadlineAtMs(), clockMs + retentionMs));
    }
    if (!members.isLiveEntry(command.entryId(), command.entryIncarnation())) {
      return refused(RefusalReason.ENTRY_NOT_LIVE, "the entry's incarnation has ended");
    }
    return Optional.empty();
  }

  private static Optional<AdmissionRefused> refused(RefusalReason reason, String detail) {
    return Optional.of(new AdmissionRefused(reason, detail));
  }

  private CommandResult complete(CompleteJob command) {
    Optional<JobRow> known = jobs.find(command.jobId());
    if (known.isEmpty()) {
      return new OutcomeStale(Long.MAX_VALUE);
    }
    JobRow row = known.get();
    if (row.epoch() != command.epoch()) {
      return new OutcomeStale(row.epoch());
    }
    if (row.outcome().isEmpty()) {
      jobs.end(row, command.outcome());
    }
    return new OutcomeCommitted();
  }

  private CommandResult registerEntry(RegisterEntry command) {
    boolean replaces =
        members.entries().stream()
            .anyMatch(
                row ->
                    row.entryId().equals(command.entryId())
                        && row.live()
                        && row.incarnation() < command.incarnation());
    CommandResult result = members.register(command, clockMs);
    if (result instanceof MemberAccepted) {
      if (replaces) {
        jobs.reassign(command.entryId(), members.liveEntries());
      }
      jobs.reassign("", members.liveEntries());
    }
    return result;
  }

  private CommandResult endEntry(EndEntry command) {
    if (members.isLiveEntry(command.entryId(), command.incarnation())) {
      members.endEntry(command.entryId(), command.reason(), clockMs);
      jobs.reassign(command.entryId(), members.liveEntries());
    }
    return new Applied();
  }

  private CommandResult advanceClock(AdvanceClock command) {
    retentionMs = command.retentionMs();
    // The floor never falls, so a longer retention can't let a forgotten submission in again.
    floorMs = Math.max(floorMs, clockMs - retentionMs);
    jobs.retire(floorMs);
    members.retire(floorMs);
    return new Applied();
  }

  private CommandResult changeZone(ChangeZone command) {
    EvacuatedZones before = evacuations.current();
    CommandResult result = evacuations.apply(command, clockMs);
    if (!evacuations.current().equals(before)) {
      members.zoneChanged();
    }
    return result;
  }

  // Reads.

  /** Returns the replicated clock, in milliseconds of the leaders' wall clocks. */
  public long clockMs() {
    return clockMs;
  }

  /** Returns the time before which submissions are forgotten. */
  public long floorMs() {
    return floorMs;
  }

  /** Returns the settings tree. */
  public SettingsTree settings() {
    return settings.tree();
  }

  /** Returns what brings a holder of a settings revision up to date; empty if it is. */
  public Optional<SettingsUpdate> settingsSince(long revision) {
    return settings.updateSince(revision);
  }

  /** Returns the members, for a holder of another version of them. */
  public Optional<MembersUpdate> membersSince(long version) {
    return members.updateSince(version);
  }

  /** Returns the entries. */
  public Collection<EntryRow> entries() {
    return List.copyOf(members.entries());
  }

  /** Returns the agents. */
  public Collection<AgentRow> agents() {
    return List.copyOf(members.agents());
  }

  /** Returns an agent by its name. */
  public Optional<AgentRow> agent(String agentId) {
    return members.agent(agentId);
  }

  /** Returns the state that an agent is to act on: no new work in an evacuated zone. */
  public MemberState effectiveState(AgentInfo agent) {
    return members.effectiveState(agent);
  }

  /** Returns whether an incarnation of an entry is live. */
  public boolean isLiveEntry(String entryId, long incarnation) {
    return members.isLiveEntry(entryId, incarnation);
  }

  /** Returns whether an incarnation of an agent is a member. */
  public boolean isCurrentAgent(String agentId, long incarnation) {
    return members.isCurrentAgent(agentId, incarnation);
  }

  /** Returns the agents whose knowledge of a job may be lost. */
  public List<String> agentsLostSince(JobRow job) {
    return members.lostSince(job.service(), job.jobId());
  }

  /** Returns a job by its number. */
  public Optional<JobRow> job(long jobId) {
    return jobs.find(jobId);
  }

  /** Returns a job by its key. */
  public Optional<JobRow> job(String caller, String submissionId) {
    return jobs.find(caller, submissionId);
  }

  /** Returns the number of submissions that are remembered. */
  public int jobCount() {
    return jobs.size();
  }

  /** Returns the number of jobs without an outcome. */
  public int runningJobCount() {
    return jobs.runningCount();
  }

  /** Returns the jobs that an entry must take over. */
  public List<OwnedJob> jobsAdoptedBy(String entryId, long incarnation, List<Long> knownJobIds) {
    return jobs.jobsAdoptedBy(entryId, incarnation, knownJobIds).stream()
        .map(row -> new OwnedJob(row.jobId(), row.epoch()))
        .toList();
  }

  /** Returns the documents. */
  public Collection<DocumentRow> documents() {
    return documents.rows();
  }

  /** Returns the version of a document that holds. */
  public Optional<DocumentRow> document(String name) {
    return documents.find(name);
  }

  /** Returns the evacuated availability zones, and the version of them. */
  public EvacuatedZones evacuatedZones() {
    return evacuations.current();
  }

  /** Returns the audit trail, oldest line first. */
  public List<AuditRow> audit() {
    return audit.rows();
  }

  // Snapshots.

  /** Returns the whole state as bytes. Cost is linear in its size. */
  public Bytes toBytes() {
    ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(buffer);
    write(
        new ClockRow(clockMs, floorMs, retentionMs, settings.tree().revision(), members.version()),
        out);
    settings.writeTo(row -> write(row, out));
    members.writeTo(row -> write(row, out));
    documents.writeTo(row -> write(row, out));
    evacuations.writeTo(row -> write(row, out));
    jobs.writeTo(row -> write(row, out));
    audit.rows().forEach(row -> write(row, out));
    return Bytes.copyOf(buffer.toByteArray());
  }

  private static void write(StateRow row, DataOutputStream out) {
    try {
      Bytes bytes = row.toBytes();
      out.writeInt(bytes.size());
      bytes.writeTo(out);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory cannot fail", e);
    }
  }

  /** Returns the state that {@link #toBytes} wrote; the state before the first entry for none. */
  public static ControlState fromBytes(Bytes bytes) throws IOException {
    ControlState state = new ControlState();
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes.toArray()));
    while (in.available() > 0) {
      byte[] row = in.readNBytes(in.readInt());
      state.restore(StateRow.fromBytes(Bytes.copyOf(row)));
    }
    return state;
  }

  private void restore(StateRow stateRow) {
    switch (stateRow) {
      case ClockRow row -> restoreClock(row);
      case JobRow row -> jobs.put(row);
      case EntryRow row -> members.restore(row);
      case AgentRow row -> members.restore(row);
      case EndedAgentRow row -> members.restore(row);
      case SettingRow row -> settings.restore(row);
      case RevisionRow row -> settings.restore(row);
      case AnsweredChangeRow row -> settings.restore(row);
      case AuditRow row -> audit.restore(row);
      case DocumentRow row -> documents.restore(row);
      case EvacuationsRow row -> evacuations.restore(row);
    }
  }

  private void restoreClock(ClockRow row) {
    clockMs = row.clockMs();
    floorMs = row.floorMs();
    retentionMs = row.retentionMs();
    settings.restoreRevision(row.revision());
    members.restoreVersion(row.membersVersion());
  }
}
