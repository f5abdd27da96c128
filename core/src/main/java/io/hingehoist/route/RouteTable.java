package io.hingehoist.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The routes of one version of the configuration. Immutable. */
public final class RouteTable {
  private static final RouteTable EMPTY = new RouteTable(0, List.of());

  private final long version;
  private final List<Route> routes;
  private final Map<String, List<Route>> byHost = new HashMap<>();

  private RouteTable(long version, List<Route> routes) {
    this.version = version;
    this.routes = List.copyOf(routes);
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    byHost
        .values()
        .forEach(
            list ->
                list.sort(
                    Comparator.comparingInt((Route route) -> route.prefix().length()).reversed()));
  }

  /** Returns the table before any configuration. */
  public static RouteTable empty() {
    return EMPTY;
  }

  /** Returns a table. */
  public static RouteTable of(long version, List<Route> routes) {
    return new RouteTable(version, routes);
  }

  /** Returns the version; 0 before any configuration. */
  public long version() {
    return version;
  }

  /** Returns the routes. */
  public List<Route> routes() {
    return routes;
  }

  /** Returns the route of a request: of its host, the one with the longest prefix of the path. */
  public Optional<Route> find(String host, String path) {
    return byHost.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.prefix()))
        .findFirst();
  }
}
