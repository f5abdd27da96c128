/**
 * What a host decides: it stands beside a worker, is the only one to call it, and keeps its room,
 * its lease and the ledger of its runs.
 *
 * <p>In come heartbeats of workers, orders and heartbeats of owners, answers of calls and the time;
 * out go {@link io.hingehoist.run.host.HostEffect}s. Begin with {@link
 * io.hingehoist.run.host.WorkerHost}, which hands each event to the part that decides. All of it is
 * free of input and output, and one thread owns it.
 */
package io.hingehoist.run.host;
