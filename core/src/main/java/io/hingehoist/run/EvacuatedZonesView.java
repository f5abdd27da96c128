package io.hingehoist.run;

import io.hingehoist.message.EvacuatedZones;
import java.util.Optional;

/**
 * A process's view of the evacuated availability zones: the highest version that it has received.
 * Versions come from control replicas and from other processes that received a newer one, so that a
 * change also reaches a box without a connection to any replica. Not thread-safe.
 */
public final class EvacuatedZonesView {
  private Optional<EvacuatedZones> known = Optional.empty();
  private long updatedAtMs;

  private EvacuatedZonesView() {}

  /** Creates the view of a process that has just started. */
  public static EvacuatedZonesView create() {
    return new EvacuatedZonesView();
  }

  /**
   * Processes a received version. Returns whether it is newer than the known one, in which case the
   * caller is to relay it.
   *
   * @param nowMs the current time, by the same clock as for {@link #ageMs}
   */
  public boolean update(EvacuatedZones received, long nowMs) {
    boolean isNewer = known.isEmpty() || received.version() > known.get().version();
    if (isNewer) {
      known = Optional.of(received);
      updatedAtMs = nowMs;
    }
    return isNewer;
  }

  /** Returns the newest received version; empty if none was received since the start. */
  public Optional<EvacuatedZones> newest() {
    return known;
  }

  /**
   * Returns whether a box of a zone may start tasks. A process that has not received a version
   * since its start may not, as the zone may have been evacuated while it was down.
   */
  public boolean allowsStartsIn(String zone) {
    return known.filter(zones -> !zones.zones().contains(zone)).isPresent();
  }

  /** Returns the number of zones that are known to be evacuated. */
  public int evacuatedCount() {
    return known.map(zones -> zones.zones().size()).orElse(0);
  }

  /** Returns the time since the newest version was received; 0 before the first. */
  public long ageMs(long nowMs) {
    return known.isEmpty() ? 0 : nowMs - updatedAtMs;
  }
}
