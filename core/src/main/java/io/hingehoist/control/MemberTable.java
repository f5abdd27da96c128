package io.hingehoist.control;

import io.hingehoist.command.ChangeAgentState;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.MemberAccepted;
import io.hingehoist.command.MemberRefused;
import io.hingehoist.command.RegisterAgent;
import io.hingehoist.command.RegisterEntry;
import io.hingehoist.message.AgentInfo;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.MembersUpdate;
import io.hingehoist.state.AgentRow;
import io.hingehoist.state.EndedAgentRow;
import io.hingehoist.state.EntryRow;
import io.hingehoist.state.StateRow;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The entries and agents of the deployment. Not thread-safe: confined to the control thread. */
final class MemberTable {
  /** The source of a state change that an agent reports about itself for a planned stop. */
  static final String PLANNED_STOP = "plannedStop";

  private static final String REGISTRATION = "registration";

  private final AuditTrail audit;
  private final EvacuationTable evacuations;
  private final Map<String, EntryRow> entries = new TreeMap<>();
  private final Map<String, AgentRow> agents = new TreeMap<>();
  private final List<EndedAgentRow> endedAgents = new ArrayList<>();
  private long version;

  MemberTable(AuditTrail audit, EvacuationTable evacuations) {
    this.audit = audit;
    this.evacuations = evacuations;
  }

  long version() {
    return version;
  }

  Collection<EntryRow> entries() {
    return entries.values();
  }

  Collection<AgentRow> agents() {
    return agents.values();
  }

  Optional<AgentRow> agent(String agentId) {
    return Optional.ofNullable(agents.get(agentId));
  }

  List<EntryRow> liveEntries() {
    return entries.values().stream().filter(EntryRow::live).toList();
  }

  boolean isLiveEntry(String entryId, long incarnation) {
    EntryRow row = entries.get(entryId);
    return row != null && row.live() && row.incarnation() == incarnation;
  }

  boolean isCurrentAgent(String agentId, long incarnation) {
    AgentRow row = agents.get(agentId);
    return row != null
        && row.info().incarnation() == incarnation
        && row.info().state() != MemberState.GONE;
  }

  /**
   * Registers an incarnation of an entry. The caller reassigns the jobs of the previous
   * incarnation.
   */
  CommandResult register(RegisterEntry command, long nowMs) {
    EntryRow known = entries.get(command.entryId());
    if (isLiveEntry(command.entryId(), command.incarnation())) {
      return new MemberAccepted();
    }
    if (known != null && known.incarnation() >= command.incarnation()) {
      return new MemberRefused(known.incarnation(), "the incarnation has ended");
    }
    entries.put(
        command.entryId(),
        new EntryRow(
            command.entryId(), command.incarnation(), command.address(), command.zone(), true));
    audit.addMemberChange(nowMs, command.entryId(), "registerEntry", command.entryId(), "", "LIVE");
    return new MemberAccepted();
  }

  void endEntry(String entryId, String reason, long nowMs) {
    EntryRow row = entries.get(entryId);
    entries.put(
        entryId, new EntryRow(entryId, row.incarnation(), row.address(), row.zone(), false));
    audit.addMemberChange(nowMs, reason, "endEntry", entryId, "LIVE", "GONE");
  }

  CommandResult register(RegisterAgent command, long index, long nowMs) {
    if (isCurrentAgent(command.agentId(), command.incarnation())) {
      return new MemberAccepted();
    }
    AgentRow known = agents.get(command.agentId());
    if (known != null && known.info().incarnation() >= command.incarnation()) {
      return new MemberRefused(known.info().incarnation(), "the incarnation has ended");
    }
    boolean remainsDrained = known != null && isExternallyDrained(known);
    if (known != null && known.info().state() != MemberState.GONE) {
      recordEnded(known, index, nowMs);
    }
    MemberState state = remainsDrained ? MemberState.DRAINING : MemberState.LIVE;
    AgentInfo info =
        new AgentInfo(
            command.agentId(),
            command.incarnation(),
            command.address(),
            command.zone(),
            command.service(),
            command.slots(),
            command.connections(),
            state);
    String source = remainsDrained ? known.stateSource() : REGISTRATION;
    put(new AgentRow(info, source));
    audit.addMemberChange(
        nowMs, command.agentId(), "registerAgent", command.agentId(), "", state.name());
    return new MemberAccepted();
  }

  /**
   * Returns whether an operator or the platform drains the agent. Such a drain survives a restart
   * of the agent; its own drain does not.
   */
  private static boolean isExternallyDrained(AgentRow row) {
    return row.info().state() == MemberState.DRAINING && !row.stateSource().equals(PLANNED_STOP);
  }

  CommandResult apply(ChangeAgentState command, long index, long nowMs) {
    AgentRow row = agents.get(command.agentId());
    if (row == null) {
      return new MemberRefused(
          0, "agentId: value \"%s\" is not a member".formatted(command.agentId()));
    }
    AgentInfo info = row.info();
    boolean incarnationDiffers =
        command.incarnation() != 0 && command.incarnation() != info.incarnation();
    if (incarnationDiffers || info.state() == MemberState.GONE) {
      return new MemberRefused(info.incarnation(), "the incarnation has ended");
    }
    if (info.state() == command.state()) {
      return new MemberAccepted();
    }
    // A planned stop completes only after every job with tasks at the agent has been retired, so no
    // knowledge of started tasks is lost.
    if (command.state() == MemberState.GONE && !command.source().equals(PLANNED_STOP)) {
      recordEnded(row, index, nowMs);
    }
    put(new AgentRow(withState(info, command.state()), command.source()));
    audit.addMemberChange(
        nowMs,
        command.actor(),
        command.source(),
        info.agentId(),
        info.state().name(),
        command.state().name());
    return new MemberAccepted();
  }

  private static AgentInfo withState(AgentInfo info, MemberState state) {
    return new AgentInfo(
        info.agentId(),
        info.incarnation(),
        info.address(),
        info.zone(),
        info.service(),
        info.slots(),
        info.connections(),
        state);
  }

  private void recordEnded(AgentRow row, long index, long nowMs) {
    AgentInfo info = row.info();
    endedAgents.add(
        new EndedAgentRow(info.agentId(), info.incarnation(), info.service(), index, nowMs));
  }

  private void put(AgentRow row) {
    agents.put(row.info().agentId(), row);
    version++;
  }

  /** Returns the agents of a service that ended after a log index without a planned stop. */
  List<String> agentsLostSince(String service, long index) {
    return endedAgents.stream()
        .filter(row -> row.service().equals(service) && row.endedAtIndex() > index)
        .map(EndedAgentRow::agentId)
        .distinct()
        .toList();
  }

  Optional<MembersUpdate> updateSince(long knownVersion) {
    if (knownVersion == version) {
      return Optional.empty();
    }
    List<AgentInfo> agentInfos = new ArrayList<>();
    for (AgentRow row : agents.values()) {
      if (row.info().state() != MemberState.GONE) {
        agentInfos.add(withState(row.info(), effectiveState(row.info())));
      }
    }
    return Optional.of(new MembersUpdate(version, agentInfos));
  }

  /**
   * Returns the state that applies to an agent: {@code DRAINING} instead of {@code LIVE} while its
   * availability zone is evacuated.
   */
  MemberState effectiveState(AgentInfo agent) {
    boolean inEvacuatedZone =
        agent.state() == MemberState.LIVE && evacuations.isEvacuated(agent.zone());
    return inEvacuatedZone ? MemberState.DRAINING : agent.state();
  }

  /**
   * Increments the version, because the effective states of agents may have changed with their
   * zone.
   */
  void onEvacuationChange() {
    version++;
  }

  /** Deletes ended agents that no running job can have used. */
  void retire(long floorMs) {
    endedAgents.removeIf(row -> row.endedAtMs() < floorMs);
  }

  void writeTo(Consumer<StateRow> out) {
    entries.values().forEach(out);
    agents.values().forEach(out);
    endedAgents.forEach(out);
  }

  void restoreVersion(long restoredVersion) {
    version = restoredVersion;
  }

  void restore(EntryRow row) {
    entries.put(row.entryId(), row);
  }

  void restore(AgentRow row) {
    agents.put(row.info().agentId(), row);
  }

  void restore(EndedAgentRow row) {
    endedAgents.add(row);
  }
}
