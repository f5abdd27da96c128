/**
 * The process of a host: orders runs at the workers of its box. Begin with {@link
 * io.hingehoist.host.HostNode}; the decisions are in {@link io.hingehoist.run.host.WorkerHost}.
 */
package io.hingehoist.host;
