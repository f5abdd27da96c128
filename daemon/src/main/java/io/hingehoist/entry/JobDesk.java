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
 * Takes submissions of jobs from refusal or admission to their final answer. Owned by the dispatch
 * thread; the futures that it returns complete on any thread.
 */
final class JobDesk {
  /** How long after its deadline the answer of a job may take to be committed. */
  private static final long ANSWER_GRACE_MS = 2_000;

  private static final long FIND_WAIT_MS = 5_000;
  private static final long FIND_MARGIN_MS = 1_500;
  private static final long ADMIT_AGAIN_MS = 100;
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
  private final Set<Long> adopting = new HashSet<>();

  JobDesk(
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
   * Takes a submission.
   *
   * @param refuseAll whether new work is refused, as before a planned stop
   */
  LocalJob submit(JobSubmission submission, boolean refuseAll, long nowMs) {
    Key key = new Key(submission.caller(), submission.submissionId());
    LocalJob running = byKey.get(key);
    if (running != null && running.submission().digest().equals(submission.digest())) {
      return running;
    }
    LocalJob job = LocalJob.of(submission);
    if (running == null) {
      byKey.put(key, job);
      job.ended()
          .whenComplete((answer, failure) -> dispatchThread.execute(() -> byKey.remove(key, job)));
    }
    giveUpInTime(job);
    Optional<RequestOutcome.Refused> refusal =
        refuseAll ? Optional.of(Refusals.stopping()) : refusalOf(submission, nowMs);
    if (refusal.isPresent()) {
      refuseUnlessKnown(job, refusal.get());
    } else {
      admit(job);
    }
    return job;
  }

  private static void giveUpInTime(LocalJob job) {
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

  /** A resubmission must not hear "not run" of a job that was admitted before. */
  private void refuseUnlessKnown(LocalJob job, RequestOutcome.Refused refusal) {
    JobSubmission submission = job.submission();
    control
        .query(new FindJob(submission.caller(), submission.submissionId(), 0), FIND_MARGIN_MS)
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
    // A job admitted under an incarnation that has ended since belongs to another owner.
    boolean owned = admittingIncarnation == incarnation.getAsLong();
    switch (result) {
      case Admitted admitted when owned -> start(job, admitted);
      case Admitted admitted -> awaitElsewhere(job);
      case Attached attached -> {
        job.admitted().complete(new Answer.Running(-1, job.submission().payloads().size()));
        awaitElsewhere(job);
      }
      case AlreadyEnded already -> job.end(toAnswer(already.outcome()));
      case AdmissionRefused refused when refused.reason() == RefusalReason.ENTRY_NOT_LIVE ->
          admitAgain(job);
      case AdmissionRefused refused -> job.end(Refusals.toAnswer(refused));
      default -> throw new IllegalStateException("not an answer to an admission: " + result);
    }
  }

  /**
   * The incarnation ended while the admission was on its way, as after a freeze: nothing was
   * admitted, and this entry is about to register anew. The caller's deadline bounds the tries.
   */
  private void admitAgain(LocalJob job) {
    CompletableFuture.delayedExecutor(ADMIT_AGAIN_MS, TimeUnit.MILLISECONDS, dispatchThread)
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

  /** Takes over a job whose owner has ended. */
  void adopt(OwnedJob owned) {
    if (!adopting.add(owned.jobId())) {
      return;
    }
    control
        .query(new GetJob(owned.jobId()), FIND_MARGIN_MS)
        .whenComplete(
            (answer, failure) ->
                dispatchThread.execute(
                    () -> {
                      adopting.remove(owned.jobId());
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

  /** Commits an outcome, and answers the callers once it is committed. */
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
      awaitElsewhere(job);
    }
  }

  /** Leaves every job to its next owner; the callers here go on waiting for the outcome. */
  void onIncarnationEnded() {
    List<LocalJob> left = List.copyOf(byJobId.values());
    byJobId.clear();
    left.forEach(this::awaitElsewhere);
  }

  /** Waits for an outcome that another entry commits. */
  private void awaitElsewhere(LocalJob job) {
    if (job.ended().isDone()) {
      return;
    }
    JobSubmission submission = job.submission();
    find(submission.caller(), submission.submissionId(), FIND_WAIT_MS)
        .whenComplete(
            (answer, failure) -> {
              boolean open =
                  failure != null
                      || answer instanceof Answer.Running
                      || answer instanceof Answer.Unknown;
              if (open) {
                CompletableFuture.delayedExecutor(
                        FIND_MARGIN_MS / 10, TimeUnit.MILLISECONDS, dispatchThread)
                    .execute(() -> awaitElsewhere(job));
              } else {
                job.end(answer);
              }
            });
  }

  /** Returns what is known of a submission, after waiting up to a time for its end. */
  CompletableFuture<Answer> find(String caller, String submissionId, long waitMs) {
    return control
        .query(new FindJob(caller, submissionId, waitMs), waitMs + FIND_MARGIN_MS)
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

  /** Returns whether every submission taken here has its final answer. */
  boolean isSettled() {
    return byKey.isEmpty() && byJobId.isEmpty();
  }
}
