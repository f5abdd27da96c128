package io.hingehoist.route;

import io.hingehoist.message.RoutePlace;
import io.hingehoist.message.RouteRow;

/**
 * A queue of jobs, with the host and path prefix of the requests that belong to it.
 *
 * @param name the name of the queue
 * @param host the host of the requests
 * @param prefix the prefix of the path of the requests
 * @param service the service whose workers run the tasks
 * @param priority the priority; 0 is the highest
 * @param attempts the number of failed runs of one task after which its job fails
 * @param allowanceMs the time allowed in addition to the stretched time of the work
 * @param stretch the time allowed for the work, as a multiple of its estimated time
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
  /** An odd multiplier with evenly distributed bits, which spreads each bit of a value upwards. */
  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

  /** Returns the route that a row of a message represents. */
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

  /** Returns the row of a message that represents this route. */
  RouteRow toRow() {
    return new RouteRow(name, place(), service, priority, attempts, allowanceMs, stretch);
  }

  /** Returns the host and prefix to which the route applies. */
  RoutePlace place() {
    return new RoutePlace(host, prefix);
  }

  /** Returns a 64-bit hash of all fields. Different routes rarely have the same one. */
  long digest() {
    long digest = mix(name.hashCode(), host.hashCode());
    digest = mix(digest, prefix.hashCode());
    digest = mix(digest, service.hashCode());
    digest = mix(digest, priority);
    digest = mix(digest, attempts);
    digest = mix(digest, allowanceMs);
    return mix(digest, Double.doubleToLongBits(stretch));
  }

  private static long mix(long digest, long value) {
    long product = (digest ^ value) * HASH_MULTIPLIER;
    return product ^ (product >>> 29);
  }
}
