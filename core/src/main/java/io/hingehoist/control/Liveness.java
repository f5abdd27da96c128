package io.hingehoist.control;

import io.hingehoist.command.ChangeAgentState;
import io.hingehoist.command.Command;
import io.hingehoist.command.EndEntry;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.Role;
import io.hingehoist.state.AgentRow;
import io.hingehoist.state.EntryRow;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's failure detector for members, based on their heartbeats. It is not replicated: a new
 * leader gives every member a full timeout from the start of its leadership. Not thread-safe:
 * confined to the control thread.
 */
public final class Liveness {
  private record Member(Role role, String nodeId, long incarnation) {}

  private final long timeoutMs;
  private final Map<Member, Long> heartbeatsAtMs = new HashMap<>();
  private long leadingSinceMs;

  private Liveness(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  /**
   * Creates a failure detector.
   *
   * @param timeoutMs the time without a heartbeat after which a member is considered gone; longer
   *     than a lease, so that the member has already stopped by itself
   */
  public static Liveness create(long timeoutMs) {
    return new Liveness(timeoutMs);
  }

  /** Discards all heartbeats, at the start of a leadership. */
  public void reset(long nowMs) {
    heartbeatsAtMs.clear();
    leadingSinceMs = nowMs;
  }

  /** Records a heartbeat of a member. */
  public void recordHeartbeat(Role role, String nodeId, long incarnation, long nowMs) {
    heartbeatsAtMs.put(new Member(role, nodeId, incarnation), nowMs);
  }

  /** Returns the commands that end the members whose heartbeats have timed out. */
  public List<Command> expiryCommands(ControlState state, long nowMs) {
    List<Command> commands = new ArrayList<>();
    for (EntryRow row : state.entries()) {
      if (row.live() && hasTimedOut(Role.ENTRY, row.entryId(), row.incarnation(), nowMs)) {
        commands.add(new EndEntry(row.entryId(), row.incarnation(), "missed heartbeats"));
      }
    }
    for (AgentRow row : state.agents()) {
      String agentId = row.info().agentId();
      long incarnation = row.info().incarnation();
      boolean isMember = row.info().state() != MemberState.GONE;
      if (isMember && hasTimedOut(Role.AGENT, agentId, incarnation, nowMs)) {
        commands.add(
            new ChangeAgentState(
                agentId, incarnation, MemberState.GONE, "missedHeartbeats", "control"));
      }
    }
    return commands;
  }

  private boolean hasTimedOut(Role role, String nodeId, long incarnation, long nowMs) {
    long lastHeartbeatAtMs =
        heartbeatsAtMs.getOrDefault(new Member(role, nodeId, incarnation), leadingSinceMs);
    return nowMs - Math.max(lastHeartbeatAtMs, leadingSinceMs) > timeoutMs;
  }
}
