package io.hingehoist.run.host;

import io.hingehoist.message.Message;
import io.hingehoist.message.RunRef;
import io.hingehoist.run.Decision;

/** Something that a {@link WorkerHost} asks its surroundings to do, in order. */
public sealed interface HostEffect {

  /**
   * Orders a run at a worker, by its name and that of the life that is meant; the answer comes back
   * by {@link WorkerHost#startCallCompleted}.
   *
   * @param deadlineMs the end of the worker's lease, by the worker's clock
   * @param patience when the call counts as lost
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
   * Stops a run at a worker; the answer comes back by {@link WorkerHost#stopCallCompleted}.
   *
   * @param patience when the call counts as lost
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
   * Renews the lease of a worker and asks for its runs; the answer comes back by {@link
   * WorkerHost#pollCallCompleted}.
   *
   * @param deadlineMs the end of the lease, by the worker's clock; 0 leaves it as it is
   * @param lastSeen the number up to which ends are taken note of
   * @param waitMs the time that the worker may wait for an end
   * @param patience when the call counts as lost, the wait included
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
   * When a call counts as lost.
   *
   * @param timeoutMs the time for its answer
   * @param freshConnection whether kept connections are passed over: they may have fallen silent
   */
  record CallOptions(long timeoutMs, boolean freshConnection) {}

  /** Closes the connections to an address that no worker uses any more. */
  record CloseConnections(String address) implements HostEffect {}

  /** Sends a message to an owner. */
  record SendToOwner(long sessionId, Message message) implements HostEffect {}

  /** Closes an owner's session. */
  record CloseSession(long sessionId) implements HostEffect {}

  /** Writes a decision to the log. */
  record LogDecision(Decision decision) implements HostEffect {}
}
