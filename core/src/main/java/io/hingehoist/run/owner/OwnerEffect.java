package io.hingehoist.run.owner;

import io.hingehoist.message.Message;
import io.hingehoist.run.Decision;
import io.hingehoist.run.JobEnd;

/** Something that a {@link JobOwner} asks its surroundings to do, in order. */
public sealed interface OwnerEffect {

  /** Sends a message to a host on its open session. */
  record SendToHost(String hostId, Message message) implements OwnerEffect {}

  /** Answers everyone who waits for a job. */
  record AnswerJob(String jobId, JobEnd end) implements OwnerEffect {}

  /** Writes a decision to the log. */
  record LogDecision(Decision decision) implements OwnerEffect {}
}
