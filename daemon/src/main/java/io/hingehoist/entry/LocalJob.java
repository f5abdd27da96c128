package io.hingehoist.entry;

import java.util.concurrent.CompletableFuture;

/**
 * A submission that this entry is handling, for all of its callers here.
 *
 * @param admitted completes once it is known whether the job was admitted; the answer is {@link
 *     Answer.Running} if it was, and the final one if that is known already
 * @param ended completes with the final answer
 */
record LocalJob(
    JobSubmission submission, CompletableFuture<Answer> admitted, CompletableFuture<Answer> ended) {

  static LocalJob of(JobSubmission submission) {
    return new LocalJob(submission, new CompletableFuture<>(), new CompletableFuture<>());
  }

  /** Gives every caller the final answer. */
  void end(Answer answer) {
    admitted.complete(answer);
    ended.complete(answer);
  }
}
