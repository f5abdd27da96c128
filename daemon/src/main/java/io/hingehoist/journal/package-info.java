/**
 * The durable state of a control replica: its identity, journal and snapshots.
 *
 * <p>Start with {@link io.hingehoist.journal.Journal}. The types of its records are generated from
 * the schema, see {@link io.hingehoist.journal.JournalStep}.
 */
package io.hingehoist.journal;
