package io.hingehoist.run.host;

import io.hingehoist.message.EvacuatedZones;
import java.util.List;

/** Static helpers that inform hosts of the evacuated availability zones. */
public final class ZoneFixtures {
  private ZoneFixtures() {}

  /** Informs a host that no zone is evacuated, and returns it. */
  public static WorkerHost noneEvacuated(WorkerHost host) {
    host.evacuatedZonesReceived(new EvacuatedZones(0, List.of()), "test", 0);
    host.drainEffects();
    return host;
  }
}
