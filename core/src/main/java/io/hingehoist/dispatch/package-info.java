/**
 * The decisions of an entry about its work: what it admits, which worker runs it, what is retried,
 * and when it fails.
 *
 * <p>Start with {@link io.hingehoist.dispatch.Dispatcher}. The classes of this package use no
 * threads, sockets, clocks or files.
 */
package io.hingehoist.dispatch;
