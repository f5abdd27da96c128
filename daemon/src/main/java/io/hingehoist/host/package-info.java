/**
 * The process of a host: starts and stops runs at the workers of its box. Start with {@link
 * io.hingehoist.host.HostNode}; the decisions are made by {@link
 * io.hingehoist.run.host.WorkerHost}.
 */
package io.hingehoist.host;
