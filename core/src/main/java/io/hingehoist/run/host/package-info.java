/**
 * The decisions of a host, the process that runs beside a worker. It is the only process that calls
 * the worker, and manages the worker's room, lease and runs.
 *
 * <p>The inputs are heartbeats of workers, orders and heartbeats of owners, results of calls and
 * the time; the outputs are {@link io.hingehoist.run.host.HostEffect}s. Start with {@link
 * io.hingehoist.run.host.WorkerHost}, which delegates each event. The package performs no input or
 * output. Its classes are not thread-safe: they are confined to the event-loop thread.
 */
package io.hingehoist.run.host;
