package io.hingehoist.dispatch;

import io.hingehoist.command.JobOutcome;
import io.hingehoist.message.Message;

/** Something that a {@link Dispatcher} asks its surroundings to do, in order. */
public sealed interface DispatchEffect {

  /** Sends a message to an agent. */
  record Send(String agentId, Message message) implements DispatchEffect {}

  /** Commits the outcome of a job. */
  record CommitOutcome(long jobId, long epoch, JobOutcome outcome) implements DispatchEffect {}

  /** Says that a request has ended. */
  record EndRequest(long requestId, RequestOutcome outcome) implements DispatchEffect {}
}
