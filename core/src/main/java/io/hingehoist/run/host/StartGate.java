package io.hingehoist.run.host;

import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.run.EvacuatedZonesView;

/**
 * Whether a host may start anything at all: not while it stops, and not in an availability zone
 * that is evacuated or not known not to be. Owned by {@link WorkerHost}.
 */
final class StartGate {
  private final String zone;
  private final EvacuatedZonesView zones = EvacuatedZonesView.create();
  private boolean zoneIsOpen;
  private boolean stopping;
  private long refusedForZone;

  StartGate(String zone) {
    this.zone = zone;
  }

  String zone() {
    return zone;
  }

  EvacuatedZonesView zones() {
    return zones;
  }

  /** Takes word of the evacuated zones; returns whether it is news. */
  boolean learn(EvacuatedZones heard, long nowMs) {
    boolean news = zones.update(heard, nowMs);
    if (news) {
      zoneIsOpen = zones.allowsStartsIn(zone);
    }
    return news;
  }

  boolean isZoneOpen() {
    return zoneIsOpen;
  }

  boolean isStopping() {
    return stopping;
  }

  void stopTaking() {
    stopping = true;
  }

  boolean takesNothing() {
    return stopping || !zoneIsOpen;
  }

  void noteRefusedForZone() {
    refusedForZone++;
  }

  long refusedForZoneCount() {
    return refusedForZone;
  }
}
