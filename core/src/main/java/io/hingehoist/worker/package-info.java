/**
 * The decisions of an agent: which tasks it starts, what it records about them, and which entries
 * may use its slots.
 *
 * <p>Start with {@link io.hingehoist.worker.TaskLedger}. The classes of this package use no
 * threads, sockets, clocks or files.
 */
package io.hingehoist.worker;
