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
 * The availability zones that operators have evacuated. Commands take effect in log order. A
 * command whose result is already in effect is accepted again, because the answer to the first one
 * may have been lost. Not thread-safe: confined to the control thread.
 */
final class EvacuationTable {
  /**
   * The maximum number of evacuated zones: a hundred times the number of zones of the largest
   * planned deployment.
   */
  static final int MAX_ZONES = 1_000;

  private final AuditTrail audit;
  private EvacuatedZones current = new EvacuatedZones(0, List.of());

  EvacuationTable(AuditTrail audit) {
    this.audit = audit;
  }

  /** Applies a command that evacuates or restores a zone. */
  CommandResult apply(ChangeZone command, long nowMs) {
    if (isEvacuated(command.zone()) == command.evacuated()) {
      return new ZoneAccepted(current.version());
    }
    TreeSet<String> zones = new TreeSet<>(current.zones());
    if (!command.evacuated()) {
      zones.remove(command.zone());
    } else if (zones.size() < MAX_ZONES) {
      zones.add(command.zone());
    } else {
      return new ZoneRefused(
          "zone: value \"%s\" would be evacuated beside %d others; allowed: at most %d"
              .formatted(command.zone(), zones.size(), MAX_ZONES));
    }
    current = new EvacuatedZones(current.version() + 1, List.copyOf(zones));
    audit.addZoneChange(nowMs, command, current.version());
    return new ZoneAccepted(current.version());
  }

  boolean isEvacuated(String zone) {
    return current.zones().contains(zone);
  }

  /** Returns the evacuated zones and their version, as sent to the processes. */
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
