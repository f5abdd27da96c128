/** Which queue a request belongs to. Begin with {@link io.hingehoist.route.RouteTable}. */
package io.hingehoist.route;
