package io.hingehoist.run.host;

import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.run.EvacuatedZonesView;

/**
 * Decides whether a host may start runs at all: not during a planned stop, and not in an
 * availability zone that is evacuated or whose state is unknown. Not thread-safe: confined to the
 * event-loop thread.
 */
final class StartGuard {
  private final String zone;
  private final EvacuatedZonesView zones = EvacuatedZonesView.create();
  private boolean zoneAllowsStarts;
  private boolean stopping;
  private long refusedForZoneCount;

  StartGuard(String zone) {
    this.zone = zone;
  }

  String zone() {
    return zone;
  }

  EvacuatedZonesView zones() {
    return zones;
  }

  /** Updates the evacuated zones; returns whether the update was new. */
  boolean update(EvacuatedZones update, long nowMs) {
    boolean changed = zones.update(update, nowMs);
    if (changed) {
      zoneAllowsStarts = zones.allowsStartsIn(zone);
    }
    return changed;
  }

  boolean zoneAllowsStarts() {
    return zoneAllowsStarts;
  }

  boolean isStopping() {
    return stopping;
  }

  void stopAcceptingRuns() {
    stopping = true;
  }

  boolean refusesStarts() {
    return stopping || !zoneAllowsStarts;
  }

  void countZoneRefusal() {
    refusedForZoneCount++;
  }

  long refusedForZoneCount() {
    return refusedForZoneCount;
  }
}
