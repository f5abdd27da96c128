/**
 * The limits on what connections make a process hold, and the choice of those that give way.
 *
 * <p>Start with {@link io.hingehoist.limits.ConnectionLimiter}. Each listener registers its
 * connections with one, as {@link io.hingehoist.limits.LimitedConnection}: the HTTP servers of
 * {@code net} and {@code entry}, and the servers for other processes in {@code net} and {@code
 * wire}.
 */
package io.hingehoist.limits;
