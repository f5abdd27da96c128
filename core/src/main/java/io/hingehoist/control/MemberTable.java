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

/** The entries and agents of the deployment. Owned by {@link ControlState}. */
final class MemberTable {
  /** The source of a state that an agent reports of itself after a planned stop. */
  static final String PLANNED_STOP = "plannedStop";

  private static final String REGISTRATION = "registration";

  private final AuditTrail audit;
  private final EvacuationTable evacuations;
  private final Map<String, EntryRow> entries = new TreeMap<>();
  private final Map<String, AgentRow> agents = new TreeMap<>();
  private final List<EndedAgentRow> ended = new ArrayList<>();
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

  /** Registers an incarnation of an entry; the caller ends the one before. */
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
    boolean staysDrained = known != null && isDrainedByOthers(known);
    if (known != null && known.info().state() != MemberState.GONE) {
      end(known, index, nowMs);
    }
    MemberState state = staysDrained ? MemberState.DRAINING : MemberState.LIVE;
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
    String source = staysDrained ? known.stateSource() : REGISTRATION;
    put(new AgentRow(info, source));
    audit.addMemberChange(
        nowMs, command.agentId(), "registerAgent", command.agentId(), "", state.name());
    return new MemberAccepted();
  }

  /** An operator's or the platform's drain outlives a restart; an agent's own does not. */
  private static boolean isDrainedByOthers(AgentRow row) {
    return row.info().state() == MemberState.DRAINING && !row.stateSource().equals(PLANNED_STOP);
  }

  CommandResult apply(ChangeAgentState command, long index, long nowMs) {
    AgentRow row = agents.get(command.agentId());
    if (row == null) {
      return new MemberRefused(
          0, "agentId: value \"%s\" is not a member".formatted(command.agentId()));
    }
    AgentInfo info = row.info();
    boolean otherIncarnation =
        command.incarnation() != 0 && command.incarnation() != info.incarnation();
    if (otherIncarnation || info.state() == MemberState.GONE) {
      return new MemberRefused(info.incarnation(), "the incarnation has ended");
    }
    if (info.state() == command.state()) {
      return new MemberAccepted();
    }
    // A planned stop ends after every job with the agent has retired, so no knowledge is lost.
    if (command.state() == MemberState.GONE && !command.source().equals(PLANNED_STOP)) {
      end(row, index, nowMs);
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

  private void end(AgentRow row, long index, long nowMs) {
    AgentInfo info = row.info();
    ended.add(new EndedAgentRow(info.agentId(), info.incarnation(), info.service(), index, nowMs));
  }

  private void put(AgentRow row) {
    agents.put(row.info().agentId(), row);
    version++;
  }

  /** Returns the agents of a service that ended, without a planned stop, after a log index. */
  List<String> lostSince(String service, long index) {
    return ended.stream()
        .filter(row -> row.service().equals(service) && row.endedAtIndex() > index)
        .map(EndedAgentRow::agentId)
        .distinct()
        .toList();
  }

  Optional<MembersUpdate> updateSince(long knownVersion) {
    if (knownVersion == version) {
      return Optional.empty();
    }
    List<AgentInfo> present = new ArrayList<>();
    for (AgentRow row : agents.values()) {
      if (row.info().state() != MemberState.GONE) {
        present.add(withState(row.info(), effectiveState(row.info())));
      }
    }
    return Optional.of(new MembersUpdate(version, present));
  }

  /** Returns the state that an agent is to act on: no new work in an evacuated zone. */
  MemberState effectiveState(AgentInfo agent) {
    boolean emptied = agent.state() == MemberState.LIVE && evacuations.isEvacuated(agent.zone());
    return emptied ? MemberState.DRAINING : agent.state();
  }

  /** Notes that what agents are to act on may have changed with their zone. */
  void zoneChanged() {
    version++;
  }

  /** Forgets ended agents that no running job can have used. */
  void retire(long floorMs) {
    ended.removeIf(row -> row.endedAtMs() < floorMs);
  }

  void writeTo(Consumer<StateRow> out) {
    entries.values().forEach(out);
    agents.values().forEach(out);
    ended.forEach(out);
  }

  void restoreVersion(long restored) {
    version = restored;
  }

  void restore(EntryRow row) {
    entries.put(row.entryId(), row);
  }

  void restore(AgentRow row) {
    agents.put(row.info().agentId(), row);
  }

  void restore(EndedAgentRow row) {
    ended.add(row);
  }
}
