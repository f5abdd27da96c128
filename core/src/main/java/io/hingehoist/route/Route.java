package io.hingehoist.route;

import io.hingehoist.message.RoutePlace;
import io.hingehoist.message.RouteRow;

/**
 * One queue of jobs and the requests that belong to it.
 *
 * @param name names the queue
 * @param host the host that requests name
 * @param prefix what their path begins with
 * @param service the service whose workers run its tasks
 * @param priority 0 goes first
 * @param attempts the failed runs of one task after which a job fails
 * @param allowanceMs the time allowed beyond the work itself
 * @param stretch how many times as long as the work an answer may take
 */
public record Route(
    String name,
    String host,
    String prefix,
    String service,
    int priority,
    int attempts,
    long allowanceMs,
    double stretch) {
  /** An odd number with bits spread evenly, which carries each bit of a factor upwards. */
  private static final long SPREAD = 0x9e3779b97f4a7c15L;

  /** Returns the route that a row of a message stands for. */
  static Route of(RouteRow row) {
    RoutePlace place = row.place();
    return new Route(
        row.name(),
        place.host(),
        place.prefix(),
        row.service(),
        row.priority(),
        row.attempts(),
        row.allowanceMs(),
        row.stretch());
  }

  /** Returns the row of a message that stands for this route. */
  RouteRow toRow() {
    return new RouteRow(name, place(), service, priority, attempts, allowanceMs, stretch);
  }

  /** Returns where it applies. */
  RoutePlace place() {
    return new RoutePlace(host, prefix);
  }

  /** Returns a number that differs between routes that differ, but for a rare chance. */
  long digest() {
    long digest = mixed(name.hashCode(), host.hashCode());
    digest = mixed(digest, prefix.hashCode());
    digest = mixed(digest, service.hashCode());
    digest = mixed(digest, priority);
    digest = mixed(digest, attempts);
    digest = mixed(digest, allowanceMs);
    return mixed(digest, Double.doubleToLongBits(stretch));
  }

  private static long mixed(long digest, long value) {
    long mixed = (digest ^ value) * SPREAD;
    return mixed ^ (mixed >>> 29);
  }
}
