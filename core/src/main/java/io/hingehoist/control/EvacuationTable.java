package io.hingehoist.control;

import io.hingehoist.command.ChangeZone;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.ZoneAccepted;
import io.hingehoist.command.ZoneRefused;
import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.state.EvacuationsRow;
import io.hingehoist.state.StateRow;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The availability zones that operators have evacuated. Orders about a zone take effect in log
 * order, and one that asks for what already holds is accepted again: its answer may have been lost.
 * Owned by {@link ControlState}.
 */
final class EvacuationTable {
  /** The most zones at once, a hundred times those of the largest deployment that is planned. */
  static final int MAX_ZONES = 1_000;

  private final AuditTrail audit;
  private final TreeSet<String> zones = new TreeSet<>();
  private long version;

  EvacuationTable(AuditTrail audit) {
    this.audit = audit;
  }

  /** Takes an order in. */
  CommandResult apply(ChangeZone order, long nowMs) {
    boolean before = zones.contains(order.zone());
    if (before == order.evacuated()) {
      return new ZoneAccepted(version);
    }
    if (order.evacuated() && zones.size() >= MAX_ZONES) {
      return new ZoneRefused(
          "zone: value \"%s\" would be evacuated beside %d others; allowed: at most %d"
              .formatted(order.zone(), zones.size(), MAX_ZONES));
    }
    if (order.evacuated()) {
      zones.add(order.zone());
    } else {
      zones.remove(order.zone());
    }
    version++;
    audit.addZoneChange(nowMs, order, version);
    return new ZoneAccepted(version);
  }

  boolean isEvacuated(String zone) {
    return zones.contains(zone);
  }

  /** Returns what processes are told. */
  EvacuatedZones toMessage() {
    return new EvacuatedZones(version, List.copyOf(zones));
  }

  void writeTo(Consumer<StateRow> out) {
    out.accept(new EvacuationsRow(version, List.copyOf(zones)));
  }

  void restore(EvacuationsRow row) {
    version = row.version();
    zones.clear();
    zones.addAll(row.zones());
  }
}
