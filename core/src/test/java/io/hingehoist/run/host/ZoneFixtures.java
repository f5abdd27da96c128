package io.hingehoist.run.host;

import io.hingehoist.message.EvacuatedZones;
import java.util.List;

/** Static helpers that tell hosts which availability zones are evacuated. */
public final class ZoneFixtures {
  private ZoneFixtures() {}

  /** Returns a host that was told that no zone is evacuated. */
  public static WorkerHost noneEvacuated(WorkerHost host) {
    host.evacuatedZonesReceived(new EvacuatedZones(0, List.of()), "test", 0);
    host.drainEffects();
    return host;
  }
}
