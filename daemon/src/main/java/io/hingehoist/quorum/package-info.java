/**
 * A control replica as part of a process: the control thread, its connections and its journal.
 *
 * <p>Begin with {@link io.hingehoist.quorum.ControlNode}. The decisions are in {@code
 * io.hingehoist.replication} and {@code io.hingehoist.control}.
 */
package io.hingehoist.quorum;
