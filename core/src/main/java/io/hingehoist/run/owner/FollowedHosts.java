package io.hingehoist.run.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The hosts that an owner follows closely: a subset of bounded size, those of its own availability
 * zone first, else by a hash of both names, so that owners spread over all hosts without asking
 * anyone.
 *
 * <p>Without it each host shows each change to each owner: messages then grow with the product of
 * their numbers. Owned by {@link JobOwner}.
 */
final class FollowedHosts {
  private record Candidate(String hostId, boolean far, int rank) {}

  private static final Comparator<Candidate> NEAREST_FIRST =
      Comparator.comparing(Candidate::far)
          .thenComparingInt(Candidate::rank)
          .thenComparing(Candidate::hostId);

  private final String ownerId;
  private final String zone;
  private int most;
  private final Map<String, Candidate> candidates = new LinkedHashMap<>();
  private Set<String> followed = Set.of();

  /**
   * Creates an empty subset.
   *
   * @param most the largest number of hosts in it, at least 1
   */
  FollowedHosts(String ownerId, String zone, int most) {
    if (most < 1) {
      throw new IllegalArgumentException("most " + most + " must be at least 1");
    }
    this.ownerId = ownerId;
    this.zone = zone;
    this.most = most;
  }

  void add(String hostId, String hostZone) {
    int rank = mixed((ownerId + '/' + hostId).hashCode());
    candidates.put(hostId, new Candidate(hostId, !hostZone.equals(zone), rank));
    choose();
  }

  /**
   * Mixes the bits of a hash, with the finalizer of MurmurHash3: hashes of names that differ in
   * their last signs only are neighbours, and would give every owner the same order.
   */
  private static int mixed(int hash) {
    int mixed = (hash ^ (hash >>> 16)) * 0x85ebca6b;
    mixed = (mixed ^ (mixed >>> 13)) * 0xc2b2ae35;
    return mixed ^ (mixed >>> 16);
  }

  void remove(String hostId) {
    candidates.remove(hostId);
    choose();
  }

  /** Follows another number of hosts, at least 1; returns those that are followed since then. */
  Set<String> follow(int newMost) {
    if (newMost == most) {
      return Set.of();
    }
    Set<String> before = followed;
    most = newMost;
    choose();
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

  private void choose() {
    List<Candidate> ranked = new ArrayList<>(candidates.values());
    if (ranked.size() > most) {
      ranked.sort(NEAREST_FIRST);
      ranked = ranked.subList(0, most);
    }
    Set<String> chosen = new HashSet<>();
    ranked.forEach(candidate -> chosen.add(candidate.hostId()));
    followed = chosen;
  }
}
