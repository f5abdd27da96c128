/**
 * The replicated log: elections, replication, membership of voters, and snapshots, as decisions
 * only.
 *
 * <p>The protocol is Raft with pre-vote, check-quorum, non-voting catch-up and read rounds (Ongaro,
 * "Consensus: Bridging Theory and Practice", 2014, sections 3, 4, 6.4 and 9.6). Begin with {@link
 * io.hingehoist.replication.Replica}: it takes events and returns effects, and touches no thread,
 * socket, clock or file.
 */
package io.hingehoist.replication;
