/**
 * The loops that nodes run on. A node's decisions have one owner: {@link
 * io.hingehoist.loop.InboxLoop} is a thread with a queue, for roles whose traffic has threads of
 * its own; {@link io.hingehoist.loop.NodeLoop} rides on the event loop that carries the
 * connections.
 */
package io.hingehoist.loop;
