package io.hingehoist.run.owner;

import io.hingehoist.message.Message;
import io.hingehoist.run.Decision;
import io.hingehoist.run.JobEnd;

/** An action that a {@link JobOwner} requests; its caller carries the actions out in order. */
public sealed interface OwnerEffect {

  /** Sends a message to a host in its open session. */
  record SendToHost(String hostId, Message message) implements OwnerEffect {}

  /** Answers all callers that wait for a job. */
  record AnswerJob(String jobId, JobEnd end) implements OwnerEffect {}

  /** Writes a decision to the log. */
  record LogDecision(Decision decision) implements OwnerEffect {}
}
