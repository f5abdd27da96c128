/**
 * Which queue a request belongs to, and how a table of routes comes from the replicas of the log to
 * the boxes that serve callers. Begin with {@link io.hingehoist.route.RouteTable}; a replica
 * answers from {@link io.hingehoist.route.RouteTableHistory}, an owner fetches with {@link
 * io.hingehoist.route.RouteDownload}.
 */
package io.hingehoist.route;
