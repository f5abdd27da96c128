/**
 * The work of an entry: jobs it owns, work it holds back, and when it gives up.
 *
 * <p>Begin with {@link io.hingehoist.dispatch.Dispatcher}. No thread, socket, clock or file here.
 */
package io.hingehoist.dispatch;
