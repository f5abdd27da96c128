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
  private EvacuatedZones current = new EvacuatedZones(0, List.of());

  EvacuationTable(AuditTrail audit) {
    this.audit = audit;
  }

  /** Takes an order in. */
  CommandResult apply(ChangeZone order, long nowMs) {
    if (isEvacuated(order.zone()) == order.evacuated()) {
      return new ZoneAccepted(current.version());
    }
    TreeSet<String> zones = new TreeSet<>(current.zones());
    if (!order.evacuated()) {
      zones.remove(order.zone());
    } else if (zones.size() < MAX_ZONES) {
      zones.add(order.zone());
    } else {
      return new ZoneRefused(
          "zone: value \"%s\" would be evacuated beside %d others; allowed: at most %d"
              .formatted(order.zone(), zones.size(), MAX_ZONES));
    }
    current = new EvacuatedZones(current.version() + 1, List.copyOf(zones));
    audit.addZoneChange(nowMs, order, current.version());
    return new ZoneAccepted(current.version());
  }

  boolean isEvacuated(String zone) {
    return current.zones().contains(zone);
  }

  /** Returns the evacuated zones and their version, as processes are told. */
  EvacuatedZones current() {
    return current;
  }

  void writeTo(Consumer<StateRow> out) {
    out.accept(new EvacuationsRow(current.version(), current.zones()));
  }

  void restore(EvacuationsRow row) {
    current = new EvacuatedZones(row.version(), row.zones());
  }
}
