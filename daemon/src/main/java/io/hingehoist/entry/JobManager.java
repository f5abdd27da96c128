package io.hingehoist.entry;

import io.hingehoist.client.ControlClient;
import io.hingehoist.command.AdmissionRefused;
import io.hingehoist.command.AdmitJob;
import io.hingehoist.command.Admitted;
import io.hingehoist.command.AlreadyEnded;
import io.hingehoist.command.Attached;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.CompleteJob;
import io.hingehoist.command.FindJob;
import io.hingehoist.command.GetJob;
import io.hingehoist.command.JobOutcome;
import io.hingehoist.command.JobRecord;
import io.hingehoist.command.NoSuchJob;
import io.hingehoist.command.OutcomeCommitted;
import io.hingehoist.command.OutcomeStatus;
import io.hingehoist.command.QueryAnswer;
import io.hingehoist.command.RefusalReason;
import io.hingehoist.dispatch.DispatchEffect;
import io.hingehoist.dispatch.Dispatcher;
import io.hingehoist.dispatch.JobSpec;
import io.hingehoist.dispatch.RequestOutcome;
import io.hingehoist.message.OwnedJob;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Handles job submissions from refusal or admission to the final answer. Not thread-safe: confined
 * to the dispatch thread. The returned futures may complete on any thread.
 */
final class JobManager {
  /** Time allowed after a job's deadline for its outcome to be committed. */
  private static final long ANSWER_GRACE_MS = 2_000;

  private static final long FIND_WAIT_MS = 5_000;
  private static final long QUERY_MARGIN_MS = 1_500;
  private static final long ADMISSION_RETRY_DELAY_MS = 100;
  private static final long RETRY_AFTER_MS = 1_000;

  private record Key(String caller, String submissionId) {}

  private final String entryId;
  private final Dispatcher dispatcher;
  private final ControlClient control;
  private final Executor dispatchThread;
  private final Consumer<List<DispatchEffect>> effects;
  private final java.util.function.LongSupplier incarnation;
  private final Map<Key, LocalJob> byKey = new HashMap<>();
  private final Map<Long, LocalJob> byJobId = new HashMap<>();
  private final Set<Long> pendingAdoptions = new HashSet<>();

  JobManager(
      String entryId,
      Dispatcher dispatcher,
      ControlClient control,
      Executor dispatchThread,
      Consumer<List<DispatchEffect>> effects,
      java.util.function.LongSupplier incarnation) {
    this.entryId = entryId;
    this.dispatcher = dispatcher;
    this.control = control;
    this.dispatchThread = dispatchThread;
    this.effects = effects;
    this.incarnation = incarnation;
  }

  /**
   * Submits a job, or returns the existing one if this entry is already handling the same
   * submission.
   *
   * @param refuseAll whether new work is refused, as it is before a planned stop
   */
  LocalJob submit(JobSubmission submission, boolean refuseAll, long nowMs) {
    Key key = new Key(submission.caller(), submission.submissionId());
    LocalJob existing = byKey.get(key);
    if (existing != null && existing.submission().digest().equals(submission.digest())) {
      return existing;
    }
    LocalJob job = LocalJob.of(submission);
    if (existing == null) {
      byKey.put(key, job);
      job.ended()
          .whenComplete((answer, failure) -> dispatchThread.execute(() -> byKey.remove(key, job)));
    }
    scheduleTimeout(job);
    Optional<RequestOutcome.Refused> refusal =
        refuseAll ? Optional.of(Refusals.stopping()) : refusalOf(submission, nowMs);
    if (refusal.isPresent()) {
      refuseUnlessKnown(job, refusal.get());
    } else {
      admit(job);
    }
    return job;
  }

  private static void scheduleTimeout(LocalJob job) {
    long leftMs = job.submission().deadlineAtMs() - System.currentTimeMillis() + ANSWER_GRACE_MS;
    Answer unknown = new Answer.Unknown("no outcome is known in time", RETRY_AFTER_MS);
    job.admitted().completeOnTimeout(unknown, Math.max(1, leftMs), TimeUnit.MILLISECONDS);
    job.ended().completeOnTimeout(unknown, Math.max(1, leftMs), TimeUnit.MILLISECONDS);
  }

  private Optional<RequestOutcome.Refused> refusalOf(JobSubmission submission, long nowMs) {
    return dispatcher.refusalOf(
        submission.service(),
        submission.jobClass(),
        submission.payloads().size(),
        toMonotonic(submission.deadlineAtMs(), nowMs),
        nowMs);
  }

  private static long toMonotonic(long wallMs, long nowMs) {
    return nowMs + wallMs - System.currentTimeMillis();
  }

  /**
   * Refuses a submission unless its job is already known. The answer "refused" means that no task
   * runs, which would be wrong for a resubmission of an admitted job.
   */
  private void refuseUnlessKnown(LocalJob job, RequestOutcome.Refused refusal) {
    JobSubmission submission = job.submission();
    control
        .query(new FindJob(submission.caller(), submission.submissionId(), 0), QUERY_MARGIN_MS)
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                job.end(new Answer.Unknown("no control replica leads", RETRY_AFTER_MS));
              } else if (answer instanceof NoSuchJob) {
                job.end(Refusals.toAnswer(refusal));
              } else {
                dispatchThread.execute(() -> admit(job));
              }
            });
  }

  private void admit(LocalJob job) {
    JobSubmission submission = job.submission();
    int tasks = submission.payloads().size();
    long admittingIncarnation = incarnation.getAsLong();
    dispatcher.reserve(submission.service(), tasks);
    control
        .propose(
            new AdmitJob(
                submission.caller(),
                submission.submissionId(),
                submission.submittedAtMs(),
                submission.digest(),
                submission.service(),
                submission.jobClass(),
                submission.team(),
                submission.deadlineAtMs(),
                submission.payloads(),
                entryId,
                admittingIncarnation))
        .thenAccept(
            result ->
                dispatchThread.execute(
                    () -> {
                      dispatcher.release(submission.service(), tasks);
                      onAdmission(job, result, admittingIncarnation);
                    }));
  }

  private void onAdmission(LocalJob job, CommandResult result, long admittingIncarnation) {
    // A job admitted under an incarnation that has since ended belongs to another owner.
    boolean owned = admittingIncarnation == incarnation.getAsLong();
    switch (result) {
      case Admitted admitted when owned -> start(job, admitted);
      case Admitted admitted -> awaitRemoteOutcome(job);
      case Attached attached -> {
        job.admitted().complete(new Answer.Running(-1, job.submission().payloads().size()));
        awaitRemoteOutcome(job);
      }
      case AlreadyEnded ended -> job.end(toAnswer(ended.outcome()));
      case AdmissionRefused refused when refused.reason() == RefusalReason.ENTRY_NOT_LIVE ->
          retryAdmission(job);
      case AdmissionRefused refused -> job.end(Refusals.toAnswer(refused));
      default -> throw new IllegalStateException("unexpected result of an admission: " + result);
    }
  }

  /**
   * Retries an admission whose incarnation ended while the command was in flight, for example after
   * the process was paused. Nothing was admitted, and this entry is about to register again. The
   * caller's deadline bounds the number of retries.
   */
  private void retryAdmission(LocalJob job) {
    CompletableFuture.delayedExecutor(
            ADMISSION_RETRY_DELAY_MS, TimeUnit.MILLISECONDS, dispatchThread)
        .execute(
            () -> {
              if (!job.ended().isDone()) {
                admit(job);
              }
            });
  }

  private void start(LocalJob job, Admitted admitted) {
    JobSubmission submission = job.submission();
    byJobId.put(admitted.jobId(), job);
    job.admitted().complete(new Answer.Running(0, submission.payloads().size()));
    long now = EntryNode.nowMs();
    JobSpec spec =
        new JobSpec(
            admitted.jobId(),
            admitted.epoch(),
            admitted.admittedAtMs(),
            submission.service(),
            submission.jobClass(),
            submission.team(),
            toMonotonic(submission.deadlineAtMs(), now),
            submission.payloads());
    effects.accept(dispatcher.onAdmitted(spec, now));
  }

  /** Adopts a job whose owner has ended. */
  void adopt(OwnedJob owned) {
    if (!pendingAdoptions.add(owned.jobId())) {
      return;
    }
    control
        .query(new GetJob(owned.jobId()), QUERY_MARGIN_MS)
        .whenComplete(
            (answer, failure) ->
                dispatchThread.execute(
                    () -> {
                      pendingAdoptions.remove(owned.jobId());
                      if (answer instanceof JobRecord record) {
                        adopt(owned, record);
                      }
                    }));
  }

  private void adopt(OwnedJob owned, JobRecord record) {
    boolean current = record.outcome().isEmpty() && record.epoch() == owned.epoch();
    if (!current) {
      return;
    }
    long now = EntryNode.nowMs();
    JobSpec spec =
        new JobSpec(
            record.jobId(),
            record.epoch(),
            record.admittedAtMs(),
            record.service(),
            record.jobClass(),
            record.team(),
            toMonotonic(record.deadlineAtMs(), now),
            record.payloads());
    effects.accept(dispatcher.onAdopted(spec, record.lostAgents(), now));
  }

  /** Proposes an outcome, and answers the callers once it is committed. */
  void commit(DispatchEffect.CommitOutcome commit) {
    control
        .propose(new CompleteJob(commit.jobId(), commit.epoch(), commit.outcome()))
        .thenAccept(result -> dispatchThread.execute(() -> onCommitAnswer(commit, result)));
  }

  private void onCommitAnswer(DispatchEffect.CommitOutcome commit, CommandResult result) {
    LocalJob job = byJobId.remove(commit.jobId());
    if (result instanceof OutcomeCommitted) {
      effects.accept(dispatcher.onOutcomeCommitted(commit.jobId()));
      if (job != null) {
        job.end(toAnswer(commit.outcome()));
      }
      return;
    }
    effects.accept(dispatcher.onOutcomeStale(commit.jobId()));
    if (job != null) {
      awaitRemoteOutcome(job);
    }
  }

  /** Hands every job over to its next owner; callers of this entry keep waiting for the outcome. */
  void onIncarnationEnded() {
    List<LocalJob> unfinishedJobs = List.copyOf(byJobId.values());
    byJobId.clear();
    unfinishedJobs.forEach(this::awaitRemoteOutcome);
  }

  /** Polls for an outcome that another entry commits. */
  private void awaitRemoteOutcome(LocalJob job) {
    if (job.ended().isDone()) {
      return;
    }
    JobSubmission submission = job.submission();
    find(submission.caller(), submission.submissionId(), FIND_WAIT_MS)
        .whenComplete(
            (answer, failure) -> {
              boolean unfinished =
                  failure != null
                      || answer instanceof Answer.Running
                      || answer instanceof Answer.Unknown;
              if (unfinished) {
                CompletableFuture.delayedExecutor(
                        QUERY_MARGIN_MS / 10, TimeUnit.MILLISECONDS, dispatchThread)
                    .execute(() -> awaitRemoteOutcome(job));
              } else {
                job.end(answer);
              }
            });
  }

  /** Returns the state of a submission, after waiting up to {@code waitMs} for its outcome. */
  CompletableFuture<Answer> find(String caller, String submissionId, long waitMs) {
    return control
        .query(new FindJob(caller, submissionId, waitMs), waitMs + QUERY_MARGIN_MS)
        .thenApplyAsync(this::toAnswer, dispatchThread)
        .exceptionally(failure -> new Answer.Unknown("no control replica leads", RETRY_AFTER_MS));
  }

  private Answer toAnswer(QueryAnswer answer) {
    if (!(answer instanceof JobRecord record)) {
      return new Answer.NotFound();
    }
    if (record.outcome().isPresent()) {
      return toAnswer(record.outcome().get());
    }
    int finished = dispatcher.finishedTasks(record.jobId()).orElse(-1);
    return new Answer.Running(finished, record.taskCount());
  }

  private static Answer toAnswer(JobOutcome outcome) {
    return outcome.status() == OutcomeStatus.COMPLETE
        ? new Answer.Complete(outcome.results())
        : new Answer.Failed(outcome.reason());
  }

  /** Returns whether every submission accepted by this entry has its final answer. */
  boolean isSettled() {
    return byKey.isEmpty() && byJobId.isEmpty();
  }
}
