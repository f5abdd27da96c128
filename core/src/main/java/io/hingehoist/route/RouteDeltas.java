package io.hingehoist.route;

import io.hingehoist.message.RoutePlace;
import io.hingehoist.message.RouteRow;
import io.hingehoist.message.RoutesPart;
import java.util.ArrayList;
import java.util.List;

/** Static methods that compute the changes between two tables, split into parts for transfer. */
final class RouteDeltas {
  /** About 7 KB, or 4 ms on a link of 17 Mbit/s: the delay of a heartbeat queued behind a part. */
  static final int UPDATE_ROUTES_PER_PART = 64;

  /**
   * About 55 KB, for a receiver that has no table yet and thus serves no callers. No heartbeat is
   * delayed, and fewer parts save round trips through code that the JVM has not compiled yet.
   */
  static final int INITIAL_ROUTES_PER_PART = 512;

  private RouteDeltas() {}

  /**
   * Returns the parts that turn a table into a newer one, in order. There is at least one, which is
   * empty if no route differs.
   *
   * @param routesPerPart the maximum number of routes in a part
   */
  static List<RoutesPart> of(RouteTable base, RouteTable newer, int routesPerPart) {
    List<RoutePlace> removed = removed(base, newer);
    List<RouteRow> put = put(base, newer);
    int changes = removed.size() + put.size();
    int partCount = Math.max(1, (changes + routesPerPart - 1) / routesPerPart);
    List<RoutesPart> parts = new ArrayList<>(partCount);
    for (int part = 0; part < partCount; part++) {
      int from = part * routesPerPart;
      parts.add(
          new RoutesPart(
              newer.version(),
              newer.digest(),
              base.version(),
              part,
              partCount,
              clampedSubList(removed, from, routesPerPart),
              clampedSubList(put, from - removed.size(), routesPerPart)));
    }
    return parts;
  }

  private static List<RoutePlace> removed(RouteTable base, RouteTable newer) {
    List<RoutePlace> removed = new ArrayList<>();
    for (Route route : base.routes()) {
      if (newer.routeAt(route.place()).isEmpty()) {
        removed.add(route.place());
      }
    }
    return removed;
  }

  private static List<RouteRow> put(RouteTable base, RouteTable newer) {
    List<RouteRow> put = new ArrayList<>();
    for (Route route : newer.routes()) {
      if (base.routeAt(route.place()).filter(route::equals).isEmpty()) {
        put.add(route.toRow());
      }
    }
    return put;
  }

  /** Returns the elements of a list in a range that may begin below 0 and end beyond the list. */
  private static <T> List<T> clampedSubList(List<T> all, int from, int length) {
    int first = Math.clamp(from, 0, all.size());
    int end = Math.clamp(from + length, 0, all.size());
    return all.subList(first, end);
  }
}
