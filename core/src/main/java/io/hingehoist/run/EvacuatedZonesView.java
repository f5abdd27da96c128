package io.hingehoist.run;

import io.hingehoist.message.EvacuatedZones;
import java.util.Optional;

/**
 * What a process knows of evacuated availability zones: of all that it heard, the highest version.
 * It is told by control replicas, and by other processes that learned of a change, so that a box
 * which reaches none of the replicas hears of it all the same. Not thread-safe.
 */
public final class EvacuatedZonesView {
  private Optional<EvacuatedZones> known = Optional.empty();
  private long learnedAtMs;

  private EvacuatedZonesView() {}

  /** Creates the knowledge of a process that has just started. */
  public static EvacuatedZonesView create() {
    return new EvacuatedZonesView();
  }

  /**
   * Takes what was heard. Returns whether it is news, which is to be passed on.
   *
   * @param nowMs a time of the same clock as those of {@link #ageMs}
   */
  public boolean update(EvacuatedZones heard, long nowMs) {
    boolean news = known.isEmpty() || heard.version() > known.get().version();
    if (news) {
      known = Optional.of(heard);
      learnedAtMs = nowMs;
    }
    return news;
  }

  /** Returns the newest version that was heard of; empty if none was since the start. */
  public Optional<EvacuatedZones> newest() {
    return known;
  }

  /**
   * Returns whether a box of a zone may start tasks. One that has heard nothing since it started
   * may not: its zone may have been evacuated while it was away.
   */
  public boolean allowsStartsIn(String zone) {
    return known.filter(zones -> !zones.zones().contains(zone)).isPresent();
  }

  /** Returns the number of zones that are known to be evacuated. */
  public int evacuatedCount() {
    return known.map(zones -> zones.zones().size()).orElse(0);
  }

  /** Returns the time since the newest version was learned; 0 before the first. */
  public long ageMs(long nowMs) {
    return known.isEmpty() ? 0 : nowMs - learnedAtMs;
  }
}
