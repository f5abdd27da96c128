package io.hingehoist.route;

import io.hingehoist.message.RoutePlace;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The routes of one version of the configuration. Immutable. */
public final class RouteTable {
  private static final RouteTable EMPTY = new RouteTable(0, 0, Map.of());

  private final long version;
  private final long digest;

  /** The routes by host, then by prefix in lexicographic order. */
  private final Map<String, TreeMap<String, Route>> byHost;

  private RouteTable(long version, long digest, Map<String, TreeMap<String, Route>> byHost) {
    this.version = version;
    this.digest = digest;
    this.byHost = byHost;
  }

  /** Returns the empty table of version 0, which holds before any configuration. */
  public static RouteTable empty() {
    return EMPTY;
  }

  /**
   * Returns a table of the given routes. The last route of a host and prefix replaces earlier ones.
   */
  public static RouteTable of(long version, List<Route> routes) {
    Builder builder = EMPTY.toBuilder();
    routes.forEach(builder::put);
    return builder.build(version);
  }

  /** Returns the version; 0 before any configuration. */
  public long version() {
    return version;
  }

  /** Returns a 64-bit hash of all routes. Tables with different routes rarely have the same one. */
  long digest() {
    return digest;
  }

  /** Returns the routes. */
  public List<Route> routes() {
    List<Route> routes = new ArrayList<>();
    byHost.values().forEach(prefixes -> routes.addAll(prefixes.values()));
    return routes;
  }

  Optional<Route> routeAt(RoutePlace place) {
    return Optional.ofNullable(byHost.get(place.host()))
        .map(prefixes -> prefixes.get(place.prefix()));
  }

  /**
   * Returns the route of a request: the route of its host with the longest prefix of the path.
   * Needs a few lookups in a sorted map, however many routes the host has.
   */
  public Optional<Route> find(String host, String path) {
    TreeMap<String, Route> prefixes = byHost.get(host);
    String key = path;
    while (prefixes != null) {
      Map.Entry<String, Route> floor = prefixes.floorEntry(key);
      if (floor == null) {
        return Optional.empty();
      }
      if (path.startsWith(floor.getKey())) {
        return Optional.of(floor.getValue());
      }
      // Any prefix of the path among the remaining routes sorts before this entry, so it is also a
      // prefix of the part that the path shares with this entry.
      key = path.substring(0, commonPrefixLength(path, floor.getKey()));
    }
    return Optional.empty();
  }

  private static int commonPrefixLength(String a, String b) {
    int maxLength = Math.min(a.length(), b.length());
    int length = 0;
    while (length < maxLength && a.charAt(length) == b.charAt(length)) {
      length++;
    }
    return length;
  }

  /** Returns a builder that contains the routes of this table. */
  Builder toBuilder() {
    return new Builder(this);
  }

  /** Builds a table from the changes to another one. Not thread-safe. */
  static final class Builder {
    private final RouteTable base;
    private final Map<String, TreeMap<String, Route>> byHost;
    private long digest;

    private Builder(RouteTable base) {
      this.base = base;
      this.byHost = new HashMap<>(base.byHost);
      this.digest = base.digest;
    }

    void put(Route route) {
      Route previous = modifiableRoutes(route.host()).put(route.prefix(), route);
      if (previous != null) {
        digest -= previous.digest();
      }
      digest += route.digest();
    }

    void remove(RoutePlace place) {
      Route previous = modifiableRoutes(place.host()).remove(place.prefix());
      if (previous != null) {
        digest -= previous.digest();
      }
      if (byHost.get(place.host()).isEmpty()) {
        byHost.remove(place.host());
      }
    }

    /** Returns the routes of a host for modification, copied first if the base table uses them. */
    private TreeMap<String, Route> modifiableRoutes(String host) {
      TreeMap<String, Route> current = byHost.get(host);
      if (current == null) {
        TreeMap<String, Route> added = new TreeMap<>();
        byHost.put(host, added);
        return added;
      }
      if (current != base.byHost.get(host)) {
        return current;
      }
      TreeMap<String, Route> copied = new TreeMap<>(current);
      byHost.put(host, copied);
      return copied;
    }

    RouteTable build(long version) {
      return new RouteTable(version, digest, byHost);
    }
  }
}
