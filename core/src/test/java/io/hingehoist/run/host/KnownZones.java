package io.hingehoist.run.host;

import io.hingehoist.message.EvacuatedZones;
import java.util.List;

/** Static helpers that tell hosts which availability zones are evacuated. */
public final class KnownZones {
  private KnownZones() {}

  /** Returns a host that was told that no zone is evacuated. */
  public static WorkerHost none(WorkerHost host) {
    host.zonesLearned(new EvacuatedZones(0, List.of()), "test", 0);
    host.takeEffects();
    return host;
  }
}
