/**
 * The loops that nodes run on. The decisions of a node are confined to one thread: {@link
 * io.hingehoist.loop.InboxLoop} is a thread with a queue, for roles whose connections have their
 * own threads; {@link io.hingehoist.loop.NodeLoop} runs on the event loop that also handles the
 * connections.
 */
package io.hingehoist.loop;
