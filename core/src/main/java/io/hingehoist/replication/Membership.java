package io.hingehoist.replication;

import java.util.List;

/**
 * What a replica knows of itself and of the others when it starts.
 *
 * @param replicaId the identity stored on its disk
 * @param address the address at which other replicas reach it
 * @param clusterId the cluster that its disk belongs to; empty if it has joined none
 * @param knownAddresses the addresses of some or all replicas, with or without its own
 * @param voterCount the intended number of voters
 * @param mayFound whether this replica founds the cluster once {@code voterCount} replicas are
 *     blank; at most one replica of a deployment may
 * @param foundingId the id of the cluster that the replicas of the first start found; the same for
 *     all of them, and empty for a replica whose disk is not of the first start
 */
public record Membership(
    String replicaId,
    String address,
    String clusterId,
    List<String> knownAddresses,
    int voterCount,
    boolean mayFound,
    String foundingId) {

  /** Checks that there is an identity; copies the addresses. */
  public Membership {
    if (replicaId.isEmpty()) {
      throw new IllegalArgumentException("replicaId must not be empty");
    }
    knownAddresses = List.copyOf(knownAddresses);
  }
}
