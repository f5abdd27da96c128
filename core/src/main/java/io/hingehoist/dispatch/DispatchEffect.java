package io.hingehoist.dispatch;

import io.hingehoist.command.JobOutcome;
import io.hingehoist.message.Message;

/** An action that a {@link Dispatcher} asks its caller to carry out, in order. */
public sealed interface DispatchEffect {

  /** Sends a message to an agent. */
  record Send(String agentId, Message message) implements DispatchEffect {}

  /** Commits the outcome of a job to the replicated log. */
  record CommitOutcome(long jobId, long epoch, JobOutcome outcome) implements DispatchEffect {}

  /** Reports the end of a request. */
  record EndRequest(long requestId, RequestOutcome outcome) implements DispatchEffect {}
}
