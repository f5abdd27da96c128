/**
 * The rows of the applied state of the replicated log, as stored in snapshots.
 *
 * <p>All types are generated from {@code schema/src/main/avro}; start with {@link
 * io.hingehoist.state.StateRow}. The tables that hold the rows are in {@code
 * io.hingehoist.control}.
 */
package io.hingehoist.state;
