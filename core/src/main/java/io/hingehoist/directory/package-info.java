/**
 * How processes find each other: each announces itself to the control replicas that it knows, and
 * learns of the others from them. Begin with {@link io.hingehoist.directory.PeerDirectory}.
 */
package io.hingehoist.directory;
