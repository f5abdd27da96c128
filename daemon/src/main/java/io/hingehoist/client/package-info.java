/**
 * How entries and agents talk to the control replicas: they find the leader, ask again when it
 * changes, and keep a lease.
 *
 * <p>Begin with {@link io.hingehoist.client.ControlClient}.
 */
package io.hingehoist.client;
