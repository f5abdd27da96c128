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
 * The newest route tables that a replica knows, from which it computes the changes since the table
 * that a requester holds. Not thread-safe.
 */
public final class RouteTableHistory {
  /** An owner whose table is older than the retained ones gets the full table. */
  private static final int RETAINED_TABLES = 4;

  private final Deque<RouteTable> newestFirst = new ArrayDeque<>();

  private record PartsKey(long baseVersion, int routesPerPart) {}

  /** The parts of the changes that lead to the newest table, by base version and part size. */
  private final Map<PartsKey, List<RoutesPart>> partsByBase = new HashMap<>();

  private RouteTableHistory() {}

  /** Returns a history without tables. */
  public static RouteTableHistory create() {
    return new RouteTableHistory();
  }

  /** Adds a committed table, unless one of the same or a newer version is known. */
  public void add(RouteTable table) {
    RouteTable newest = newest();
    if (table.version() <= newest.version()) {
      return;
    }
    partsByBase.clear();
    newestFirst.addFirst(withSharedRoutes(table, newest));
    if (newestFirst.size() > RETAINED_TABLES) {
      newestFirst.removeLast();
    }
  }

  /** Returns an equal table that uses the equal routes of another one, to save memory. */
  private static RouteTable withSharedRoutes(RouteTable table, RouteTable other) {
    RouteTable.Builder builder = RouteTable.empty().toBuilder();
    for (Route route : table.routes()) {
      builder.put(other.routeAt(route.place()).filter(route::equals).orElse(route));
    }
    return builder.build(table.version());
  }

  private RouteTable newest() {
    return newestFirst.isEmpty() ? RouteTable.empty() : newestFirst.getFirst();
  }

  /**
   * Returns the requested part; the first part of the newest table if the requested part does not
   * belong to that table; and empty if no table newer than the held one is known.
   */
  public Optional<RoutesPart> answer(RoutesRequest request) {
    RouteTable newest = newest();
    if (newest.version() <= request.heldVersion()) {
      return Optional.empty();
    }
    RouteTable base = heldTable(request);
    int routesPerPart =
        Math.clamp(
            request.partRoutes(),
            RouteDeltas.UPDATE_ROUTES_PER_PART,
            RouteDeltas.INITIAL_ROUTES_PER_PART);
    PartsKey key = new PartsKey(base.version(), routesPerPart);
    List<RoutesPart> parts =
        partsByBase.computeIfAbsent(key, k -> RouteDeltas.of(base, newest, routesPerPart));
    boolean partExists =
        request.wantedVersion() == newest.version()
            && request.part() >= 0
            && request.part() < parts.size();
    return Optional.of(parts.get(partExists ? request.part() : 0));
  }

  /**
   * Returns the table that the requester holds; empty if it is not retained. Compares digests too,
   * since changes applied to other content of the same version would lead to a wrong table.
   */
  private RouteTable heldTable(RoutesRequest request) {
    return newestFirst.stream()
        .filter(table -> table.version() == request.heldVersion())
        .filter(table -> table.digest() == request.heldDigest())
        .findFirst()
        .orElse(RouteTable.empty());
  }
}
