package io.hingehoist.run.host;

import io.hingehoist.message.Message;
import io.hingehoist.message.RunRef;
import io.hingehoist.run.Decision;

/**
 * An action that a {@link WorkerHost} requests from its environment. Effects are carried out in
 * order.
 */
public sealed interface HostEffect {

  /**
   * Starts a run at a worker. The result is passed to {@link WorkerHost#startCallCompleted}.
   *
   * @param instanceId the worker instance that the call is for
   * @param deadlineMs the end of the worker's lease, by the worker's clock
   * @param options when the call counts as lost
   */
  record StartCall(
      String instanceId,
      String workerId,
      String address,
      RunRef run,
      String spec,
      long deadlineMs,
      long token,
      CallOptions options)
      implements HostEffect {}

  /**
   * Stops a run at a worker. The result is passed to {@link WorkerHost#stopCallCompleted}.
   *
   * @param options when the call counts as lost
   */
  record StopCall(
      String instanceId,
      String workerId,
      String address,
      RunRef run,
      long token,
      CallOptions options)
      implements HostEffect {}

  /**
   * Renews the lease of a worker and polls the list of its runs (a long poll, {@code hold} in the
   * worker's HTTP interface). The result is passed to {@link WorkerHost#pollCallCompleted}.
   *
   * @param deadlineMs the end of the lease, by the worker's clock; 0 leaves the lease unchanged
   * @param lastSeen the number of the last end that the host has processed
   * @param waitMs how long the worker may delay the response until a run ends
   * @param options when the call counts as lost; the timeout includes {@code waitMs}
   */
  record PollCall(
      String instanceId,
      String workerId,
      String address,
      long deadlineMs,
      long token,
      long lastSeen,
      long waitMs,
      CallOptions options)
      implements HostEffect {}

  /**
   * The options of a call to a worker.
   *
   * @param timeoutMs the time after which the call counts as lost
   * @param freshConnection whether to open a new connection instead of reusing an idle one, which
   *     may be broken without notice
   */
  record CallOptions(long timeoutMs, boolean freshConnection) {}

  /** Closes the connections to an address that no worker uses any longer. */
  record CloseConnections(String address) implements HostEffect {}

  /** Sends a message to an owner. */
  record SendToOwner(long sessionId, Message message) implements HostEffect {}

  /** Closes an owner's session. */
  record CloseSession(long sessionId) implements HostEffect {}

  /** Writes a decision to the log. */
  record LogDecision(Decision decision) implements HostEffect {}
}
