package io.hingehoist.net;

import io.hingehoist.metrics.Metrics;
import io.hingehoist.run.EvacuatedZonesView;

/** Static helpers that show what a process knows of evacuated availability zones. */
public final class ZoneGauges {
  private ZoneGauges() {}

  /** Adds the gauges of a process; they are read on the event loop. */
  public static void add(Metrics metrics, EvacuatedZonesView zones) {
    metrics.addGauge(
        "hingehoist_evacuated_zones",
        "Availability zones that this process knows to be evacuated.",
        zones::evacuatedCount);
    metrics.addGauge(
        "hingehoist_evacuated_zones_version",
        "The version of the evacuations that this process knows; -1 before it has heard of one.",
        () -> zones.newest().map(newest -> (double) newest.version()).orElse(-1.0));
    metrics.addGauge(
        "hingehoist_evacuated_zones_age_seconds",
        "Time since this process learned of that version.",
        () -> zones.ageMs(EventLoop.nowMs()) / 1_000.0);
  }
}
