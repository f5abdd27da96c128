package io.hingehoist.route;

import io.hingehoist.message.RoutesPart;
import io.hingehoist.message.RoutesRequest;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Downloads route tables part by part from replicas that announce them. The active table stays in
 * use until the next one is complete.
 *
 * <p>Designed for changes of thousands of routes at once on a box with a slow processor and a slow
 * link that keeps serving callers meanwhile. Only one part is requested at a time, so that each
 * iteration of the caller's event loop does little work. Call a method for each event, then carry
 * out {@link #drainEffects}. Not thread-safe.
 */
public final class RouteDownload {
  /**
   * Far longer than a part takes on a busy link, and short compared with the time allowed for a
   * change.
   */
  private static final long RESPONSE_TIMEOUT_MS = 300;

  /** An action for the caller to carry out. */
  public sealed interface Effect {
    /** Sends a request for a part to a replica. */
    record RequestPart(String source, RoutesRequest request) implements Effect {}

    /**
     * Reports that a downloaded table has become active.
     *
     * @param durationMs the time since the download was started
     */
    record TableActivated(RouteTable table, String source, int partCount, long durationMs)
        implements Effect {}

    /** Reports that a replica's parts did not arrive or did not lead to a valid table. */
    record DownloadFailed(String source, long version, String reason) implements Effect {}
  }

  private static final class Fetch {
    private final String source;
    private final long startedAtMs;
    private long version;
    private long baseVersion;
    private int nextPart;
    private long requestedAtMs;
    private RouteTable.Builder builder;

    private Fetch(String source, long version, long nowMs) {
      this.source = source;
      this.version = version;
      this.startedAtMs = nowMs;
    }
  }

  private final Map<String, Long> versionBySource = new LinkedHashMap<>();
  private final List<Effect> effects = new ArrayList<>();
  private RouteTable table = RouteTable.empty();
  private Optional<Fetch> current = Optional.empty();

  private RouteDownload() {}

  /** Returns a download whose active table is empty. */
  public static RouteDownload create() {
    return new RouteDownload();
  }

  /** Returns the active table. */
  public RouteTable table() {
    return table;
  }

  /** Returns the actions since the last call, in the order in which to carry them out. */
  public List<Effect> drainEffects() {
    List<Effect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }

  /** Handles the announcement of a version by a replica. */
  public void onVersionAnnounced(String source, long version, long nowMs) {
    versionBySource.merge(source, version, Math::max);
    if (current.isEmpty()) {
      startIfOutdated(nowMs);
    }
  }

  /** Handles the loss of the connection to a replica. */
  public void onSourceLost(String source, long nowMs) {
    versionBySource.remove(source);
    if (current.filter(fetch -> fetch.source.equals(source)).isPresent()) {
      failCurrent("the connection is lost", nowMs);
    }
  }

  /** Fails the current download if its replica has not responded in time. */
  public void onTick(long nowMs) {
    if (current.filter(fetch -> nowMs - fetch.requestedAtMs >= RESPONSE_TIMEOUT_MS).isPresent()) {
      failCurrent("no answer", nowMs);
    }
  }

  /** Ends the current download and moves its replica to the end of the order of sources. */
  private void failCurrent(String reason, long nowMs) {
    Fetch failed = current.orElseThrow();
    effects.add(new Effect.DownloadFailed(failed.source, failed.version, reason));
    current = Optional.empty();
    Long version = versionBySource.remove(failed.source);
    if (version != null) {
      versionBySource.put(failed.source, version);
    }
    startIfOutdated(nowMs);
  }

  private void startIfOutdated(long nowMs) {
    for (Map.Entry<String, Long> source : versionBySource.entrySet()) {
      if (source.getValue() > table.version()) {
        Fetch fetch = new Fetch(source.getKey(), source.getValue(), nowMs);
        current = Optional.of(fetch);
        requestPart(fetch, table.version(), table.digest(), nowMs);
        return;
      }
    }
  }

  private void requestPart(Fetch fetch, long heldVersion, long heldDigest, long nowMs) {
    fetch.requestedAtMs = nowMs;
    int routesPerPart =
        table.version() == 0
            ? RouteDeltas.INITIAL_ROUTES_PER_PART
            : RouteDeltas.UPDATE_ROUTES_PER_PART;
    RoutesRequest request =
        new RoutesRequest(heldVersion, heldDigest, fetch.version, fetch.nextPart, routesPerPart);
    effects.add(new Effect.RequestPart(fetch.source, request));
  }

  /** Handles a part of a newer table. */
  public void onPart(String source, RoutesPart part, long nowMs) {
    if (current.filter(fetch -> fetch.source.equals(source)).isEmpty()) {
      return;
    }
    Fetch fetch = current.get();
    if (part.part() == 0) {
      onFirstPart(fetch, part);
    }
    if (!isExpected(fetch, part)) {
      failCurrent("unexpected part", nowMs);
      return;
    }
    part.removed().forEach(fetch.builder::remove);
    part.put().forEach(row -> fetch.builder.put(Route.of(row)));
    fetch.nextPart++;
    if (fetch.nextPart < part.partCount()) {
      requestNextPart(fetch, nowMs);
    } else {
      onLastPart(fetch, part, nowMs);
    }
  }

  private void onFirstPart(Fetch fetch, RoutesPart part) {
    RouteTable base = part.baseVersion() == 0 ? RouteTable.empty() : table;
    fetch.version = part.version();
    fetch.baseVersion = part.baseVersion();
    fetch.nextPart = 0;
    fetch.builder = base.toBuilder();
  }

  private boolean isExpected(Fetch fetch, RoutesPart part) {
    return fetch.builder != null
        && part.part() == fetch.nextPart
        && part.version() == fetch.version
        && part.baseVersion() == fetch.baseVersion
        && (fetch.baseVersion == 0 || fetch.baseVersion == table.version());
  }

  private void requestNextPart(Fetch fetch, long nowMs) {
    boolean fullTable = fetch.baseVersion == 0;
    requestPart(fetch, fetch.baseVersion, fullTable ? 0 : table.digest(), nowMs);
  }

  private void onLastPart(Fetch fetch, RoutesPart last, long nowMs) {
    RouteTable built = fetch.builder.build(fetch.version);
    if (built.digest() == last.digest()) {
      current = Optional.empty();
      table = built;
      effects.add(
          new Effect.TableActivated(
              built, fetch.source, last.partCount(), nowMs - fetch.startedAtMs));
      startIfOutdated(nowMs);
    } else if (fetch.baseVersion == 0) {
      failCurrent("the digest differs", nowMs);
    } else {
      effects.add(new Effect.DownloadFailed(fetch.source, fetch.version, "the digest differs"));
      fetch.nextPart = 0;
      requestPart(fetch, 0, 0, nowMs);
    }
  }
}
