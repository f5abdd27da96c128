/**
 * The entry: HTTP towards callers and operators, and the thread that dispatches their work.
 *
 * <p>Begin with {@link io.hingehoist.entry.EntryNode}, and {@link io.hingehoist.entry.JobResource}
 * for what callers see. The decisions are in {@code io.hingehoist.dispatch}.
 */
package io.hingehoist.entry;
