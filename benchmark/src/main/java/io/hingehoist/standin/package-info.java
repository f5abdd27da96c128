/**
 * Stand-ins for what surrounds hingehoist: a backend server that logs every start by itself, and a
 * relay that delays or cuts a link.
 *
 * <p>Begin with {@link io.hingehoist.standin.StandInBackend} and {@link
 * io.hingehoist.standin.Relay}.
 */
package io.hingehoist.standin;
