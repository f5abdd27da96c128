package io.hingehoist.route;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The requests that wait for their route while newer routes are read and downloaded.
 *
 * <p>A request gets its route as soon as the route is in force. Requests with the same host and
 * path get their results in the order in which they arrived, and before any later request finds the
 * route in force: a job is submitted before it is cancelled. Not thread-safe.
 */
public final class RouteLookups {
  /**
   * Longer than it takes to download the parts of some thousand routes, and short compared with the
   * time that a caller waits.
   */
  private static final long DOWNLOAD_TIMEOUT_MS = 400;

  private static final RouteLookup.Result NO_VERSION =
      new RouteLookup.Result.Unavailable("the newest configuration can't be read");
  private static final RouteLookup.Result NO_ROUTES =
      new RouteLookup.Result.Unavailable("the newest configuration did not arrive in time");

  /** Receives the end of each lookup, before its result is passed on. */
  @FunctionalInterface
  public interface EndListener {
    /**
     * Called at the end of a lookup.
     *
     * @param result the result; empty if the lookup was cancelled
     */
    void onEnd(RouteLookup lookup, Optional<RouteLookup.Result> result, long waitedMs);
  }

  /** What the leader has reported for a lookup. */
  private sealed interface Report {
    /** No report has arrived yet. */
    record Awaited() implements Report {}

    /** The newest version, and the time until which its routes must be in force. */
    record Version(long version, long expiresAtMs) implements Report {}

    /** No leader reported a version in time. */
    record Missing() implements Report {}
  }

  private record Target(String host, String path) {
    static Target of(RouteLookup lookup) {
      return new Target(lookup.host(), lookup.path());
    }
  }

  private static final class Entry {
    private final RouteLookup lookup;
    private final long begunAtMs;
    private Report report = new Report.Awaited();

    private Entry(RouteLookup lookup, long begunAtMs) {
      this.lookup = lookup;
      this.begunAtMs = begunAtMs;
    }
  }

  private final Map<Target, Deque<Entry>> waiting = new LinkedHashMap<>();
  private final EndListener endListener;

  private RouteLookups(EndListener endListener) {
    this.endListener = endListener;
  }

  /** Returns an empty set of lookups. */
  public static RouteLookups create(EndListener endListener) {
    return new RouteLookups(endListener);
  }

  /** Returns whether no request waits for its route. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Begins a lookup whose route is not in force. */
  public void begin(RouteLookup lookup, long nowMs) {
    waiting
        .computeIfAbsent(Target.of(lookup), target -> new ArrayDeque<>())
        .add(new Entry(lookup, nowMs));
  }

  /** Cancels a lookup, which gets no result any more. Returns whether it was waiting. */
  public boolean cancel(RouteLookup lookup, long nowMs) {
    Target target = Target.of(lookup);
    Deque<Entry> entries = waiting.getOrDefault(target, new ArrayDeque<>());
    Optional<Entry> found = entries.stream().filter(entry -> entry.lookup == lookup).findFirst();
    if (found.isEmpty()) {
      return false;
    }
    entries.remove(found.get());
    removeIfEmpty(target, entries);
    endListener.onEnd(lookup, Optional.empty(), nowMs - found.get().begunAtMs);
    return true;
  }

  private void removeIfEmpty(Target target, Deque<Entry> entries) {
    if (entries.isEmpty()) {
      waiting.remove(target);
    }
  }

  /**
   * Handles the leader's report on the newest version.
   *
   * @param table the routes in force
   */
  public void versionReported(RouteLookup lookup, long version, RouteTable table, long nowMs) {
    record(lookup, new Report.Version(version, nowMs + DOWNLOAD_TIMEOUT_MS), table, nowMs);
  }

  /**
   * Handles that no leader reported the newest version in time.
   *
   * @param table the routes in force
   */
  public void versionMissing(RouteLookup lookup, RouteTable table, long nowMs) {
    record(lookup, new Report.Missing(), table, nowMs);
  }

  private void record(RouteLookup lookup, Report report, RouteTable table, long nowMs) {
    Target target = Target.of(lookup);
    waiting.getOrDefault(target, new ArrayDeque<>()).stream()
        .filter(entry -> entry.lookup == lookup)
        .forEach(entry -> entry.report = report);
    settle(target, table, nowMs);
  }

  /**
   * Completes the lookups that are decided by the routes in force or by the time. To be called
   * whenever other routes come into force, and at short intervals.
   *
   * @param table the routes in force
   */
  public void settleAll(RouteTable table, long nowMs) {
    for (Target target : List.copyOf(waiting.keySet())) {
      settle(target, table, nowMs);
    }
  }

  private void settle(Target target, RouteTable table, long nowMs) {
    Deque<Entry> entries = waiting.get(target);
    while (entries != null && !entries.isEmpty()) {
      Optional<RouteLookup.Result> result = decide(entries.peek(), table, nowMs);
      if (result.isEmpty()) {
        return;
      }
      Entry decided = entries.remove();
      removeIfEmpty(target, entries);
      complete(decided, result.get(), nowMs);
    }
  }

  private void complete(Entry entry, RouteLookup.Result result, long nowMs) {
    endListener.onEnd(entry.lookup, Optional.of(result), nowMs - entry.begunAtMs);
    entry.lookup.complete(result);
  }

  private static Optional<RouteLookup.Result> decide(Entry entry, RouteTable table, long nowMs) {
    Optional<Route> route = table.find(entry.lookup.host(), entry.lookup.path());
    if (route.isPresent()) {
      return Optional.of(new RouteLookup.Result.Found(route.get()));
    }
    return switch (entry.report) {
      case Report.Awaited awaited -> Optional.empty();
      case Report.Missing missing -> Optional.of(NO_VERSION);
      case Report.Version reported when reported.version() <= table.version() ->
          Optional.of(new RouteLookup.Result.NotFound());
      case Report.Version reported when nowMs >= reported.expiresAtMs() -> Optional.of(NO_ROUTES);
      case Report.Version reported -> Optional.empty();
    };
  }

  /** Completes all lookups with the same result. */
  public void completeAll(RouteLookup.Result result, long nowMs) {
    for (Target target : List.copyOf(waiting.keySet())) {
      Deque<Entry> entries = waiting.remove(target);
      entries.forEach(entry -> complete(entry, result, nowMs));
    }
  }
}
