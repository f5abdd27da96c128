/**
 * The replicated log as logic without I/O: elections, replication, changes of the voters, and
 * snapshots.
 *
 * <p>The protocol is Raft with pre-vote, check-quorum, learners (replicas that catch up without a
 * vote) and read rounds (Ongaro, "Consensus: Bridging Theory and Practice", 2014, sections 3, 4,
 * 6.4 and 9.6). Start with {@link io.hingehoist.replication.Replica}: it consumes events, returns
 * effects, and uses no thread, socket, clock or file.
 */
package io.hingehoist.replication;
