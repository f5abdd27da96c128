package io.hingehoist.route;

import io.hingehoist.message.RoutesPart;
import io.hingehoist.message.RoutesRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The newest route tables that a replica knows of, from which it tells others what has changed
 * since the one that they hold. Not thread-safe.
 */
public final class RouteTableHistory {
  /** An owner that missed more changes than these gets the whole table. */
  private static final int KEPT_TABLES = 4;

  private final Deque<RouteTable> newestFirst = new ArrayDeque<>();

  private record PartsKey(long baseVersion, int partRoutes) {}

  /** The parts that lead to the newest table, by what they begin with. */
  private final Map<PartsKey, List<RoutesPart>> partsByBase = new HashMap<>();

  private RouteTableHistory() {}

  /** Returns an archive of no table. */
  public static RouteTableHistory create() {
    return new RouteTableHistory();
  }

  /** Takes a committed table, unless a newer one is known. */
  public void add(RouteTable table) {
    RouteTable newest = newest();
    if (table.version() <= newest.version()) {
      return;
    }
    partsByBase.clear();
    newestFirst.addFirst(sharing(table, newest));
    if (newestFirst.size() > KEPT_TABLES) {
      newestFirst.removeLast();
    }
  }

  /** Returns an equal table with the routes of another, so that what is alike is held once. */
  private static RouteTable sharing(RouteTable table, RouteTable other) {
    RouteTable.Builder builder = RouteTable.empty().toBuilder();
    for (Route route : table.routes()) {
      builder.put(other.at(route.place()).filter(route::equals).orElse(route));
    }
    return builder.build(table.version());
  }

  private RouteTable newest() {
    return newestFirst.isEmpty() ? RouteTable.empty() : newestFirst.getFirst();
  }

  /**
   * Returns the part that was asked for; the first one of the newest table if that is not the one
   * that was wanted, and none if nothing newer than the held table is known.
   */
  public Optional<RoutesPart> answer(RoutesRequest request) {
    RouteTable newest = newest();
    if (newest.version() <= request.heldVersion()) {
      return Optional.empty();
    }
    RouteTable base = held(request);
    int partRoutes =
        Math.clamp(request.partRoutes(), RouteParts.USUAL_ROUTES, RouteParts.FIRST_ROUTES);
    PartsKey key = new PartsKey(base.version(), partRoutes);
    List<RoutesPart> parts =
        partsByBase.computeIfAbsent(key, k -> RouteParts.of(base, newest, partRoutes));
    boolean known =
        request.wantedVersion() == newest.version()
            && request.part() >= 0
            && request.part() < parts.size();
    return Optional.of(parts.get(known ? request.part() : 0));
  }

  /** A table of the same number and another content would be built upon wrongly. */
  private RouteTable held(RoutesRequest request) {
    return newestFirst.stream()
        .filter(table -> table.version() == request.heldVersion())
        .filter(table -> table.digest() == request.heldDigest())
        .findFirst()
        .orElse(RouteTable.empty());
  }
}
