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
 * The leader's view of which members are heard from. It is not replicated: a new leader gives every
 * member a whole timeout from the moment it leads. Not thread-safe: the control thread owns it.
 */
public final class Liveness {
  private record Member(Role role, String nodeId, long incarnation) {}

  private final long timeoutMs;
  private final Map<Member, Long> heardAtMs = new HashMap<>();
  private long leadingSinceMs;

  private Liveness(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  /**
   * Creates a view.
   *
   * @param timeoutMs the silence after which a member is gone; longer than a lease, so that the
   *     member has stopped by itself before
   */
  public static Liveness create(long timeoutMs) {
    return new Liveness(timeoutMs);
  }

  /** Starts over, as a new leader must. */
  public void reset(long nowMs) {
    heardAtMs.clear();
    leadingSinceMs = nowMs;
  }

  /** Notes that a member was heard. */
  public void recordHeartbeat(Role role, String nodeId, long incarnation, long nowMs) {
    heardAtMs.put(new Member(role, nodeId, incarnation), nowMs);
  }

  /** Returns the commands that end the members which have been silent for too long. */
  public List<Command> expiryCommands(ControlState state, long nowMs) {
    List<Command> due = new ArrayList<>();
    for (EntryRow row : state.entries()) {
      if (row.live() && isSilent(Role.ENTRY, row.entryId(), row.incarnation(), nowMs)) {
        due.add(new EndEntry(row.entryId(), row.incarnation(), "missed heartbeats"));
      }
    }
    for (AgentRow row : state.agents()) {
      String agentId = row.info().agentId();
      long incarnation = row.info().incarnation();
      boolean present = row.info().state() != MemberState.GONE;
      if (present && isSilent(Role.AGENT, agentId, incarnation, nowMs)) {
        due.add(
            new ChangeAgentState(
                agentId, incarnation, MemberState.GONE, "missedHeartbeats", "control"));
      }
    }
    return due;
  }

  private boolean isSilent(Role role, String nodeId, long incarnation, long nowMs) {
    long heard = heardAtMs.getOrDefault(new Member(role, nodeId, incarnation), leadingSinceMs);
    return nowMs - Math.max(heard, leadingSinceMs) > timeoutMs;
  }
}
