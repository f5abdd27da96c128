/**
 * The commands of the replicated log, their results, and the queries of its applied state.
 *
 * <p>All types are generated from {@code schema/src/main/avro}; start with {@link
 * io.hingehoist.command.Command}.
 */
package io.hingehoist.command;
