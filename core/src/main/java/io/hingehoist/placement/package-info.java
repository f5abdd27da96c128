/**
 * Which worker gets the next task, as an entry sees the workers.
 *
 * <p>Begin with {@link io.hingehoist.placement.PlacementPolicy}. {@link
 * io.hingehoist.placement.Worker} holds what an entry knows of one agent and its backend server.
 */
package io.hingehoist.placement;
