/**
 * The choice of a worker for the next piece of work, based on an entry's view of the workers.
 *
 * <p>Start with {@link io.hingehoist.placement.PlacementPolicy}. {@link
 * io.hingehoist.placement.Worker} is an entry's view of one agent and its backend server.
 */
package io.hingehoist.placement;
