/**
 * Service discovery: each process announces itself to the control replicas that it knows, and
 * receives the other processes from them. Start with {@link io.hingehoist.directory.PeerDirectory}.
 */
package io.hingehoist.directory;
