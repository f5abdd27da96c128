package io.hingehoist.route;

import io.hingehoist.message.RoutePlace;
import io.hingehoist.message.RouteRow;
import io.hingehoist.message.RoutesPart;
import java.util.ArrayList;
import java.util.List;

/** What turns one table into another, in parts that are small enough to share a connection. */
final class RouteParts {
  /** Some 7 KB, 4 ms on a link of 17 Mbit/s: what a heartbeat may wait for behind a part. */
  static final int USUAL_ROUTES = 64;

  /**
   * Some 55 KB, for whoever holds nothing yet and serves nobody: there is nothing to wait behind a
   * part, and each part costs a round trip of cold code.
   */
  static final int FIRST_ROUTES = 512;

  private RouteParts() {}

  /**
   * Returns the parts in order; at least one, which may change nothing.
   *
   * @param partRoutes the largest number of routes in one
   */
  static List<RoutesPart> of(RouteTable base, RouteTable newer, int partRoutes) {
    List<RoutePlace> removed = removed(base, newer);
    List<RouteRow> put = put(base, newer);
    int changes = removed.size() + put.size();
    int partCount = Math.max(1, (changes + partRoutes - 1) / partRoutes);
    List<RoutesPart> parts = new ArrayList<>(partCount);
    for (int part = 0; part < partCount; part++) {
      int from = part * partRoutes;
      parts.add(
          new RoutesPart(
              newer.version(),
              newer.digest(),
              base.version(),
              part,
              partCount,
              piece(removed, from, partRoutes),
              piece(put, from - removed.size(), partRoutes)));
    }
    return parts;
  }

  private static List<RoutePlace> removed(RouteTable base, RouteTable newer) {
    List<RoutePlace> removed = new ArrayList<>();
    for (Route route : base.routes()) {
      if (newer.at(route.place()).isEmpty()) {
        removed.add(route.place());
      }
    }
    return removed;
  }

  private static List<RouteRow> put(RouteTable base, RouteTable newer) {
    List<RouteRow> put = new ArrayList<>();
    for (Route route : newer.routes()) {
      if (base.at(route.place()).filter(route::equals).isEmpty()) {
        put.add(route.toRow());
      }
    }
    return put;
  }

  /** Returns what of a list lies in a part that begins at an index, which may be below 0. */
  private static <T> List<T> piece(List<T> all, int from, int length) {
    int first = Math.clamp(from, 0, all.size());
    int end = Math.clamp(from + length, 0, all.size());
    return all.subList(first, end);
  }
}
