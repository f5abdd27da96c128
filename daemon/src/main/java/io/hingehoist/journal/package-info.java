/**
 * The durable state of a control replica: its identity, its journal and its snapshots.
 *
 * <p>Begin with {@link io.hingehoist.journal.Journal}. The steps recorded in it are generated from
 * the schema, see {@link io.hingehoist.journal.JournalStep}.
 */
package io.hingehoist.journal;
