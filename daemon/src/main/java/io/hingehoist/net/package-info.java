/**
 * Connections on one event loop, for processes on small boxes: frames between hingehoist processes,
 * and HTTP to and from other programs.
 *
 * <p>Everything runs on the single thread of the loop, to which the state of the node is confined
 * as well: on a fraction of a core, handing work to another thread costs a wake-up that is more
 * expensive than the work itself. Start with {@link io.hingehoist.net.EventLoop}.
 */
package io.hingehoist.net;
