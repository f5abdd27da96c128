package io.hingehoist.replication;

/** What a replica does in its current term. */
public enum ReplicaRole {
  FOLLOWER,
  CANDIDATE,
  LEADER
}
