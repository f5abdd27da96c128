/**
 * The assignment of requests to queues, and the distribution of route tables from the replicas of
 * the log to the boxes that serve callers.
 *
 * <p>Start with {@link io.hingehoist.route.RouteTable}. A replica answers requests from {@link
 * io.hingehoist.route.RouteTableHistory}; an owner downloads tables with {@link
 * io.hingehoist.route.RouteDownload}, while requests for newer routes wait in {@link
 * io.hingehoist.route.RouteLookups}.
 */
package io.hingehoist.route;
