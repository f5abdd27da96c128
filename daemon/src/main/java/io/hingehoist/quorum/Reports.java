package io.hingehoist.quorum;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hingehoist.control.ControlState;
import io.hingehoist.message.AgentInfo;
import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.ReplicaInfo;
import io.hingehoist.replication.Replica;
import io.hingehoist.settings.SettingsPath;
import io.hingehoist.settings.SettingsTree;
import io.hingehoist.state.AgentRow;
import io.hingehoist.state.AuditRow;
import io.hingehoist.state.EntryRow;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Static helpers that render the applied state for operators, as JSON. */
final class Reports {
  private static final ObjectMapper JSON = new ObjectMapper();

  private record Settings(long revision, String path, List<SettingsTree.EffectiveValue> values) {}

  private record Override(String path, String key, String value) {}

  private record Tree(long revision, List<Override> overrides) {}

  private record Member(
      String role,
      String id,
      String state,
      String source,
      String zone,
      String address,
      String service,
      int slots,
      long incarnation) {}

  private record Members(long version, List<Member> members) {}

  private record Zone(String zone, String state, int agents) {}

  private record Zones(long version, List<Zone> zones) {}

  private record Audit(List<AuditRow> rows) {}

  private record ReplicaLine(String replicaId, String address, boolean voter) {}

  private record Status(
      String clusterId,
      long term,
      String leaderAddress,
      long commitIndex,
      long settingsRevision,
      int runningJobs,
      int rememberedJobs,
      long clockMs,
      List<ReplicaLine> replicas) {}

  private record Problem(String error) {}

  private Reports() {}

  static String render(String report, String argument, ControlState state, Replica replica) {
    Object content =
        switch (report) {
          case "settings" -> settings(argument, state);
          case "tree" -> tree(state);
          case "history" -> new Audit(settingsRows(argument, state));
          case "audit" -> new Audit(state.audit());
          case "members" -> members(state);
          case "zones" -> zones(state);
          case "status" -> status(state, replica);
          default -> new Problem("there is no report " + report);
        };
    try {
      return JSON.writeValueAsString(content);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a report can't be written", e);
    }
  }

  private static Object settings(String path, ControlState state) {
    Optional<SettingsPath> node = SettingsPath.parse(path);
    if (node.isEmpty()) {
      return new Problem("path: value \"" + path + "\" is not a node of the settings tree");
    }
    SettingsTree tree = state.settings();
    return new Settings(tree.revision(), path, tree.effective(node.get()));
  }

  private static Tree tree(ControlState state) {
    List<Override> overrides =
        state.settings().toEntries().stream()
            .map(e -> new Override(e.path(), e.key(), e.value().orElse("")))
            .toList();
    return new Tree(state.settings().revision(), overrides);
  }

  private static List<AuditRow> settingsRows(String path, ControlState state) {
    return state.audit().stream()
        .filter(row -> row.action().equals("settings"))
        .filter(row -> path.isEmpty() || row.subject().startsWith(path + " "))
        .toList();
  }

  private static Members members(ControlState state) {
    List<Member> members = new ArrayList<>();
    for (EntryRow row : state.entries()) {
      members.add(
          new Member(
              "entry",
              row.entryId(),
              row.live() ? "LIVE" : "GONE",
              "",
              row.zone(),
              row.address(),
              "",
              0,
              row.incarnation()));
    }
    for (AgentRow row : state.agents()) {
      AgentInfo info = row.info();
      members.add(
          new Member(
              "agent",
              info.agentId(),
              state.effectiveState(info).name(),
              state.effectiveState(info) == info.state() ? row.stateSource() : "zone",
              info.zone(),
              info.address(),
              info.service(),
              info.slots(),
              info.incarnation()));
    }
    return new Members(state.membersSince(-1).orElseThrow().version(), members);
  }

  /** The evacuated zones, and those that members name. */
  private static Zones zones(ControlState state) {
    EvacuatedZones evacuated = state.evacuatedZones();
    TreeMap<String, Integer> agentsByZone = new TreeMap<>();
    evacuated.zones().forEach(zone -> agentsByZone.put(zone, 0));
    state.entries().forEach(row -> agentsByZone.putIfAbsent(row.zone(), 0));
    state.agents().forEach(row -> agentsByZone.merge(row.info().zone(), 1, Integer::sum));
    List<Zone> zones = new ArrayList<>();
    agentsByZone.forEach(
        (zone, agents) -> {
          String shown = evacuated.zones().contains(zone) ? "evacuated" : "open";
          zones.add(new Zone(zone, shown, agents));
        });
    return new Zones(evacuated.version(), zones);
  }

  private static Status status(ControlState state, Replica replica) {
    List<ReplicaLine> replicas = new ArrayList<>();
    for (ReplicaInfo voter : replica.voters()) {
      replicas.add(new ReplicaLine(voter.replicaId(), voter.address(), true));
    }
    for (ReplicaInfo learner : replica.learners()) {
      replicas.add(new ReplicaLine(learner.replicaId(), learner.address(), false));
    }
    return new Status(
        replica.clusterId(),
        replica.term(),
        replica.leaderAddress(),
        replica.commitIndex(),
        state.settings().revision(),
        state.runningJobCount(),
        state.jobCount(),
        state.clockMs(),
        replicas);
  }
}
