package io.hingehoist.run.host;

import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.run.EvacuatedZonesView;

/**
 * Whether a host may start anything at all: not while it stops, and not in an availability zone
 * that is evacuated or not known not to be. Owned by {@link WorkerHost}.
 */
final class StartGuard {
  private final String zone;
  private final EvacuatedZonesView zones = EvacuatedZonesView.create();
  private boolean zoneAllowsStarts;
  private boolean stopping;
  private long refusedForZone;

  StartGuard(String zone) {
    this.zone = zone;
  }

  String zone() {
    return zone;
  }

  EvacuatedZonesView zones() {
    return zones;
  }

  /** Takes word of the evacuated zones; returns whether it is news. */
  boolean update(EvacuatedZones heard, long nowMs) {
    boolean news = zones.update(heard, nowMs);
    if (news) {
      zoneAllowsStarts = zones.allowsStartsIn(zone);
    }
    return news;
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
    refusedForZone++;
  }

  long refusedForZoneCount() {
    return refusedForZone;
  }
}
