/**
 * The decisions of an agent: which tasks it starts, what it remembers of them, and who may fill its
 * slots.
 *
 * <p>Begin with {@link io.hingehoist.worker.TaskLedger}. No thread, socket, clock or file here.
 */
package io.hingehoist.worker;
