package io.hingehoist.route;

import io.hingehoist.message.RoutesPart;
import io.hingehoist.message.RoutesRequest;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Fetches route tables part by part from replicas that announce them. The table in force serves
 * until the next one is whole.
 *
 * <p>The load that it answers: thousands of routes in one change, on a box with little processor
 * and a slow link that goes on serving callers. One part is asked for at a time, so that each turn
 * of the caller's loop has little to do. Call a method for each event, then carry out {@link
 * #drainEffects}. Not thread-safe.
 */
public final class RouteDownload {
  /** Far longer than a part takes on a busy link, and short beside the time for a change. */
  private static final long PATIENCE_MS = 300;

  /** What is to be done. */
  public sealed interface Effect {
    /** Sends a request to a replica. */
    record RequestPart(String source, RoutesRequest request) implements Effect {}

    /**
     * A table is in force.
     *
     * @param durationMs the time since it was first asked for
     */
    record TableActivated(RouteTable table, String source, int partCount, long durationMs)
        implements Effect {}

    /** What a replica sent leads to no table, or did not come. */
    record DownloadFailed(String source, long version, String reason) implements Effect {}
  }

  private static final class Fetch {
    private final String source;
    private final long beganAtMs;
    private long version;
    private long baseVersion;
    private int nextPart;
    private long askedAtMs;
    private RouteTable.Builder builder;

    private Fetch(String source, long version, long nowMs) {
      this.source = source;
      this.version = version;
      this.beganAtMs = nowMs;
    }
  }

  private final Map<String, Long> versionBySource = new LinkedHashMap<>();
  private final List<Effect> effects = new ArrayList<>();
  private RouteTable table = RouteTable.empty();
  private Optional<Fetch> current = Optional.empty();

  private RouteDownload() {}

  /** Returns a download with the empty table in force. */
  public static RouteDownload create() {
    return new RouteDownload();
  }

  /** Returns the table in force. */
  public RouteTable table() {
    return table;
  }

  /** Returns what is to be done since the last call, in order. */
  public List<Effect> drainEffects() {
    List<Effect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  /** Notes that a replica has a version. */
  public void onVersionAnnounced(String source, long version, long nowMs) {
    versionBySource.merge(source, version, Math::max);
    if (current.isEmpty()) {
      beginIfBehind(nowMs);
    }
  }

  /** Notes that a replica can't be asked any more. */
  public void onSourceLost(String source, long nowMs) {
    versionBySource.remove(source);
    if (current.filter(fetch -> fetch.source.equals(source)).isPresent()) {
      giveUp("the connection is lost", nowMs);
    }
  }

  /** Does what the time has made due. */
  public void onTick(long nowMs) {
    if (current.filter(fetch -> nowMs - fetch.askedAtMs >= PATIENCE_MS).isPresent()) {
      giveUp("no answer", nowMs);
    }
  }

  /** Another replica comes first from now on: the one that failed goes to the end of the order. */
  private void giveUp(String reason, long nowMs) {
    Fetch failed = current.orElseThrow();
    effects.add(new Effect.DownloadFailed(failed.source, failed.version, reason));
    current = Optional.empty();
    Long version = versionBySource.remove(failed.source);
    if (version != null) {
      versionBySource.put(failed.source, version);
    }
    beginIfBehind(nowMs);
  }

  private void beginIfBehind(long nowMs) {
    for (Map.Entry<String, Long> source : versionBySource.entrySet()) {
      if (source.getValue() > table.version()) {
        Fetch fetch = new Fetch(source.getKey(), source.getValue(), nowMs);
        current = Optional.of(fetch);
        ask(fetch, table.version(), table.digest(), nowMs);
        return;
      }
    }
  }

  private void ask(Fetch fetch, long heldVersion, long heldDigest, long nowMs) {
    fetch.askedAtMs = nowMs;
    int partRoutes = table.version() == 0 ? RouteParts.FIRST_ROUTES : RouteParts.USUAL_ROUTES;
    RoutesRequest request =
        new RoutesRequest(heldVersion, heldDigest, fetch.version, fetch.nextPart, partRoutes);
    effects.add(new Effect.RequestPart(fetch.source, request));
  }

  /** Takes a part of what leads to a newer table. */
  public void onPart(String source, RoutesPart part, long nowMs) {
    if (current.filter(fetch -> fetch.source.equals(source)).isEmpty()) {
      return;
    }
    Fetch fetch = current.get();
    if (part.part() == 0) {
      begin(fetch, part);
    }
    if (!follows(fetch, part)) {
      giveUp("a part that does not follow", nowMs);
      return;
    }
    part.removed().forEach(fetch.builder::remove);
    part.put().forEach(row -> fetch.builder.put(Route.of(row)));
    fetch.nextPart++;
    if (fetch.nextPart < part.partCount()) {
      askOn(fetch, nowMs);
    } else {
      finish(fetch, part, nowMs);
    }
  }

  private void begin(Fetch fetch, RoutesPart part) {
    RouteTable base = part.baseVersion() == 0 ? RouteTable.empty() : table;
    fetch.version = part.version();
    fetch.baseVersion = part.baseVersion();
    fetch.nextPart = 0;
    fetch.builder = base.toBuilder();
  }

  private boolean follows(Fetch fetch, RoutesPart part) {
    return fetch.builder != null
        && part.part() == fetch.nextPart
        && part.version() == fetch.version
        && part.baseVersion() == fetch.baseVersion
        && (fetch.baseVersion == 0 || fetch.baseVersion == table.version());
  }

  private void askOn(Fetch fetch, long nowMs) {
    boolean whole = fetch.baseVersion == 0;
    ask(fetch, fetch.baseVersion, whole ? 0 : table.digest(), nowMs);
  }

  private void finish(Fetch fetch, RoutesPart last, long nowMs) {
    RouteTable built = fetch.builder.build(fetch.version);
    if (built.digest() == last.digest()) {
      current = Optional.empty();
      table = built;
      effects.add(
          new Effect.TableActivated(
              built, fetch.source, last.partCount(), nowMs - fetch.beganAtMs));
      beginIfBehind(nowMs);
    } else if (fetch.baseVersion == 0) {
      giveUp("the digest differs", nowMs);
    } else {
      effects.add(new Effect.DownloadFailed(fetch.source, fetch.version, "the digest differs"));
      fetch.nextPart = 0;
      ask(fetch, 0, 0, nowMs);
    }
  }
}
