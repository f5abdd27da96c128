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

  /** By host, then by prefix in their order. */
  private final Map<String, TreeMap<String, Route>> byHost;

  private RouteTable(long version, long digest, Map<String, TreeMap<String, Route>> byHost) {
    this.version = version;
    this.digest = digest;
    this.byHost = byHost;
  }

  /** Returns the table before any configuration. */
  public static RouteTable empty() {
    return EMPTY;
  }

  /** Returns a table; of two routes at one place the later one. */
  public static RouteTable of(long version, List<Route> routes) {
    Builder builder = EMPTY.toBuilder();
    routes.forEach(builder::put);
    return builder.build(version);
  }

  /** Returns the version; 0 before any configuration. */
  public long version() {
    return version;
  }

  /** Returns a number that differs between tables whose routes differ, but for a rare chance. */
  long digest() {
    return digest;
  }

  /** Returns the routes. */
  public List<Route> routes() {
    List<Route> routes = new ArrayList<>();
    byHost.values().forEach(prefixes -> routes.addAll(prefixes.values()));
    return routes;
  }

  Optional<Route> at(RoutePlace place) {
    return Optional.ofNullable(byHost.get(place.host()))
        .map(prefixes -> prefixes.get(place.prefix()));
  }

  /**
   * Returns the route of a request: of its host, the one with the longest prefix of the path. Takes
   * a few steps of a search, however many routes the host has.
   */
  public Optional<Route> find(String host, String path) {
    TreeMap<String, Route> prefixes = byHost.get(host);
    String sought = path;
    while (prefixes != null) {
      Map.Entry<String, Route> below = prefixes.floorEntry(sought);
      if (below == null) {
        return Optional.empty();
      }
      if (path.startsWith(below.getKey())) {
        return Optional.of(below.getValue());
      }
      // A prefix of the path is one of what the path shares with its neighbour as well.
      sought = path.substring(0, sharedLength(path, below.getKey()));
    }
    return Optional.empty();
  }

  private static int sharedLength(String a, String b) {
    int most = Math.min(a.length(), b.length());
    int length = 0;
    while (length < most && a.charAt(length) == b.charAt(length)) {
      length++;
    }
    return length;
  }

  /** Returns a builder that begins with these routes. */
  Builder toBuilder() {
    return new Builder(this);
  }

  /** Builds a table from another by what differs. Not thread-safe. */
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
      Route former = prefixes(route.host()).put(route.prefix(), route);
      if (former != null) {
        digest -= former.digest();
      }
      digest += route.digest();
    }

    void remove(RoutePlace place) {
      Route former = prefixes(place.host()).remove(place.prefix());
      if (former != null) {
        digest -= former.digest();
      }
      if (byHost.get(place.host()).isEmpty()) {
        byHost.remove(place.host());
      }
    }

    /** The prefixes of a host are copied before their first change: the base keeps its own. */
    private TreeMap<String, Route> prefixes(String host) {
      TreeMap<String, Route> held = byHost.get(host);
      if (held == null) {
        TreeMap<String, Route> added = new TreeMap<>();
        byHost.put(host, added);
        return added;
      }
      if (held != base.byHost.get(host)) {
        return held;
      }
      TreeMap<String, Route> copied = new TreeMap<>(held);
      byHost.put(host, copied);
      return copied;
    }

    RouteTable build(long version) {
      return new RouteTable(version, digest, byHost);
    }
  }
}
