package io.hingehoist.entry;

import java.util.concurrent.CompletableFuture;

/**
 * A submission that this entry is handling, shared by all callers of this entry that submitted it.
 *
 * @param admitted completes once it is known whether the job was admitted, with {@link
 *     Answer.Running} if it was, or with the final answer if that is already known
 * @param ended completes with the final answer
 */
record LocalJob(
    JobSubmission submission, CompletableFuture<Answer> admitted, CompletableFuture<Answer> ended) {

  static LocalJob of(JobSubmission submission) {
    return new LocalJob(submission, new CompletableFuture<>(), new CompletableFuture<>());
  }

  /** Completes both futures with the final answer. */
  void end(Answer answer) {
    admitted.complete(answer);
    ended.complete(answer);
  }
}
