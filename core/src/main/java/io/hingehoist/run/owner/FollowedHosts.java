package io.hingehoist.run.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the hosts that an owner follows, that is, that send it every change of their workers at
 * once: a subset of bounded size that prefers hosts of the owner's availability zone and then
 * orders them by a hash of both names. The hash spreads owners over all hosts without coordination.
 *
 * <p>Without the bound each host would send each change to each owner, and the number of messages
 * would grow with the product of owners and hosts. Not thread-safe: confined to the thread of its
 * {@link JobOwner}.
 */
final class FollowedHosts {
  private record Candidate(String hostId, boolean isRemote, int rank) {}

  private static final Comparator<Candidate> LOCAL_FIRST =
      Comparator.comparing(Candidate::isRemote)
          .thenComparingInt(Candidate::rank)
          .thenComparing(Candidate::hostId);

  private final String ownerId;
  private final String zone;
  private int maxHosts;
  private final Map<String, Candidate> candidates = new LinkedHashMap<>();
  private Set<String> followed = Set.of();

  /**
   * Creates an empty selection.
   *
   * @param maxHosts the largest number of hosts to follow, at least 1
   */
  FollowedHosts(String ownerId, String zone, int maxHosts) {
    if (maxHosts < 1) {
      throw new IllegalArgumentException("maxHosts " + maxHosts + " must be at least 1");
    }
    this.ownerId = ownerId;
    this.zone = zone;
    this.maxHosts = maxHosts;
  }

  void add(String hostId, String hostZone) {
    int rank = mixBits((ownerId + '/' + hostId).hashCode());
    candidates.put(hostId, new Candidate(hostId, !hostZone.equals(zone), rank));
    select();
  }

  /**
   * Mixes the bits of a hash with the finalizer of MurmurHash3. Names that differ only in their
   * last characters have adjacent hash codes, which would give every owner the same order of hosts.
   */
  private static int mixBits(int hash) {
    int mixed = (hash ^ (hash >>> 16)) * 0x85ebca6b;
    mixed = (mixed ^ (mixed >>> 13)) * 0xc2b2ae35;
    return mixed ^ (mixed >>> 16);
  }

  void remove(String hostId) {
    candidates.remove(hostId);
    select();
  }

  /** Sets the number of hosts to follow, at least 1; returns the hosts that this adds. */
  Set<String> setMaxHosts(int newMaxHosts) {
    if (newMaxHosts == maxHosts) {
      return Set.of();
    }
    Set<String> before = followed;
    maxHosts = newMaxHosts;
    select();
    Set<String> added = new HashSet<>(followed);
    added.removeAll(before);
    return added;
  }

  boolean contains(String hostId) {
    return followed.contains(hostId);
  }

  int size() {
    return followed.size();
  }

  private void select() {
    List<Candidate> ranked = new ArrayList<>(candidates.values());
    if (ranked.size() > maxHosts) {
      ranked.sort(LOCAL_FIRST);
      ranked = ranked.subList(0, maxHosts);
    }
    Set<String> selected = new HashSet<>();
    ranked.forEach(candidate -> selected.add(candidate.hostId()));
    followed = selected;
  }
}
