/**
 * Stand-ins for the surroundings of hingehoist: a backend server that keeps its own log of every
 * start, and a relay that delays or blocks a network link.
 *
 * <p>Start with {@link io.hingehoist.standin.StandInBackend} and {@link
 * io.hingehoist.standin.Relay}.
 */
package io.hingehoist.standin;
