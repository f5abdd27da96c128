package io.hingehoist.replication;

import io.hingehoist.message.ReplicaInfo;
import io.hingehoist.message.ReplicaSet;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.stream.IntStream;

/**
 * Static helpers for the seats of voters that are not known yet.
 *
 * <p>A cluster is founded by a majority of the replicas of the first start. The set of its voters
 * then has a vacant seat for each of the others. Vacant seats count in every majority, and any
 * replica of the first start that has no seat of its own may vote for one. So giving it that seat
 * does not change who may vote. If somebody else is to become a voter, vacant seats are retired
 * before: a retired seat is a voter that never answers, and is removed as one.
 */
final class Seats {
  private static final String VACANT = "vacant-";
  private static final String RETIRED = "retired-";

  private Seats() {}

  /** Returns a set of vacant seats. */
  static ReplicaSet vacant(int count) {
    return new ReplicaSet(
        IntStream.range(0, count).mapToObj(i -> new ReplicaInfo(VACANT + i, "")).toList());
  }

  private static boolean isVacant(ReplicaInfo seat) {
    return seat.address().isEmpty() && seat.replicaId().startsWith(VACANT);
  }

  /** Returns the number of vacant seats. */
  static long vacantCount(ReplicaSet voters) {
    return voters.voters().stream().filter(Seats::isVacant).count();
  }

  /** Returns whether a replica has a seat of its own. */
  static boolean contains(ReplicaSet voters, String replicaId) {
    return voters.voters().stream().anyMatch(seat -> seat.replicaId().equals(replicaId));
  }

  /** Returns the voters with vacant seats given to the replicas that have none, in their order. */
  static ReplicaSet fill(ReplicaSet voters, Collection<ReplicaInfo> originals) {
    Queue<ReplicaInfo> unseated = new ArrayDeque<>();
    originals.stream()
        .filter(replica -> !contains(voters, replica.replicaId()))
        .forEach(unseated::add);
    List<ReplicaInfo> seats =
        voters.voters().stream()
            .map(seat -> isVacant(seat) && !unseated.isEmpty() ? unseated.remove() : seat)
            .toList();
    return new ReplicaSet(seats);
  }

  /** Returns the voters with all vacant seats retired. */
  static ReplicaSet retireVacant(ReplicaSet voters) {
    return new ReplicaSet(voters.voters().stream().map(Seats::retire).toList());
  }

  private static ReplicaInfo retire(ReplicaInfo seat) {
    return isVacant(seat)
        ? new ReplicaInfo(RETIRED + seat.replicaId().substring(VACANT.length()), "")
        : seat;
  }
}
