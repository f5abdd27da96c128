/**
 * Connections on one event loop, for processes on small boxes: frames between hingehoist processes,
 * HTTP to and from the outside.
 *
 * <p>Everything runs on the loop's one thread, which also owns the state of the node that uses it:
 * on a fraction of a core each handover to another thread is a wake-up that costs more than the
 * work. Begin with {@link io.hingehoist.net.EventLoop}.
 */
package io.hingehoist.net;
