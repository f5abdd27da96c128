/**
 * The entry process: serves callers and operators over HTTP, and dispatches their work.
 *
 * <p>Start with {@link io.hingehoist.entry.EntryNode}; {@link io.hingehoist.entry.JobResource} is
 * the callers' API. The dispatch logic is in {@code io.hingehoist.dispatch}.
 */
package io.hingehoist.entry;
