package io.hingehoist.control;

import io.hingehoist.command.JobOutcome;
import io.hingehoist.state.EntryRow;
import io.hingehoist.state.JobRow;
import io.hingehoist.state.StateRow;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Every submission within the retention. Owned by {@link ControlState}. */
final class JobTable {
  private record Key(String caller, String submissionId) {}

  private final Map<Key, JobRow> byKey = new LinkedHashMap<>();
  private final Map<Long, JobRow> byId = new HashMap<>();
  private final TreeMap<Long, JobRow> running = new TreeMap<>();

  Optional<JobRow> find(String caller, String submissionId) {
    return Optional.ofNullable(byKey.get(new Key(caller, submissionId)));
  }

  Optional<JobRow> find(long jobId) {
    return Optional.ofNullable(byId.get(jobId));
  }

  int size() {
    return byKey.size();
  }

  int runningCount() {
    return running.size();
  }

  void put(JobRow row) {
    byKey.put(new Key(row.caller(), row.submissionId()), row);
    byId.put(row.jobId(), row);
    if (row.outcome().isPresent()) {
      running.remove(row.jobId());
    } else {
      running.put(row.jobId(), row);
    }
  }

  /** Stores the outcome and drops the payloads, which are no longer needed. */
  JobRow end(JobRow row, JobOutcome outcome) {
    JobRow endedRow = copy(row, row.epoch(), row.ownerEntryId(), row.ownerIncarnation(), outcome);
    put(endedRow);
    return endedRow;
  }

  /** Gives the running jobs of an entry to live ones, each under a higher epoch. */
  void reassign(String entryId, List<EntryRow> liveEntries) {
    List<JobRow> orphans =
        running.values().stream().filter(row -> row.ownerEntryId().equals(entryId)).toList();
    for (JobRow row : orphans) {
      assign(row, liveEntries);
    }
  }

  private void assign(JobRow row, List<EntryRow> liveEntries) {
    if (liveEntries.isEmpty()) {
      put(copy(row, row.epoch() + 1, "", 0, null));
      return;
    }
    EntryRow owner = liveEntries.get((int) (row.jobId() % liveEntries.size()));
    put(copy(row, row.epoch() + 1, owner.entryId(), owner.incarnation(), null));
  }

  /** Returns the running jobs that an entry took over from another, except some that it knows. */
  List<JobRow> jobsAdoptedBy(String entryId, long incarnation, List<Long> knownJobIds) {
    List<JobRow> adopted = new ArrayList<>();
    for (JobRow row : running.values()) {
      boolean owned = row.ownerEntryId().equals(entryId) && row.ownerIncarnation() == incarnation;
      if (owned && row.epoch() > 1 && !knownJobIds.contains(row.jobId())) {
        adopted.add(row);
      }
    }
    return adopted;
  }

  private static JobRow copy(
      JobRow row, long epoch, String ownerEntryId, long ownerIncarnation, JobOutcome outcome) {
    return new JobRow(
        row.jobId(),
        epoch,
        row.caller(),
        row.submissionId(),
        row.submittedAtMs(),
        row.digest(),
        row.service(),
        row.jobClass(),
        row.team(),
        row.deadlineAtMs(),
        row.admittedAtMs(),
        row.taskCount(),
        outcome == null ? row.payloads() : List.of(),
        ownerEntryId,
        ownerIncarnation,
        Optional.ofNullable(outcome));
  }

  /** Forgets the ended jobs that were submitted before a time. */
  void retire(long floorMs) {
    byKey
        .values()
        .removeIf(
            row -> {
              boolean retired = row.outcome().isPresent() && row.submittedAtMs() < floorMs;
              if (retired) {
                byId.remove(row.jobId());
              }
              return retired;
            });
  }

  void writeTo(Consumer<StateRow> out) {
    byKey.values().forEach(out);
  }
}
