/**
 * The process of a control replica: the control thread, its connections and its journal.
 *
 * <p>Start with {@link io.hingehoist.quorum.ControlNode}. The decisions are made by {@code
 * io.hingehoist.replication} and {@code io.hingehoist.control}.
 */
package io.hingehoist.quorum;
