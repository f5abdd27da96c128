package io.hingehoist.replication;

/** The role of a replica in its current term. */
public enum ReplicaRole {
  FOLLOWER,
  CANDIDATE,
  LEADER
}
