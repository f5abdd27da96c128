/**
 * The client that entries and agents use for the control replicas. It finds the leader, retries
 * when the leader changes, and sends the heartbeats that renew a lease.
 *
 * <p>Start with {@link io.hingehoist.client.ControlClient}.
 */
package io.hingehoist.client;
