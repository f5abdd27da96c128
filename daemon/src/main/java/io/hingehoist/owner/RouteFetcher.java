package io.hingehoist.owner;

import io.hingehoist.log.DecisionLog;
import io.hingehoist.message.DocumentNotice;
import io.hingehoist.message.RoutesPart;
import io.hingehoist.net.ControlLinks;
import io.hingehoist.net.EventLoop;
import io.hingehoist.route.RouteDownload;
import io.hingehoist.route.RouteLookup;
import io.hingehoist.route.RouteLookups;
import io.hingehoist.route.RouteTable;
import java.util.Optional;

/**
 * Holds the routes in force at an owner and fetches newer versions from the control replicas. Not
 * thread-safe: confined to the event loop.
 */
final class RouteFetcher {
  private static final int MAX_LOGGED_CHARS = 160;
  private static final String CALLER_DISCONNECTED = "CallerDisconnected";

  private final String document;
  private final ControlLinks controls;
  private final DecisionLog log;
  private final RouteDownload download = RouteDownload.create();
  private final RouteLookups lookups = RouteLookups.create(this::logEnd);

  RouteFetcher(String document, ControlLinks controls, DecisionLog log) {
    this.document = document;
    this.controls = controls;
    this.log = log;
  }

  /** Returns the routes in force, or an empty table of version 0 before there are any. */
  RouteTable table() {
    return download.table();
  }

  void onNotice(String address, DocumentNotice notice) {
    if (notice.name().equals(document)) {
      download.onVersionAnnounced(address, notice.version(), EventLoop.nowMs());
      carryOut();
    }
  }

  void onPart(String address, RoutesPart part) {
    download.onPart(address, part, EventLoop.nowMs());
    carryOut();
  }

  void onLost(String address) {
    download.onSourceLost(address, EventLoop.nowMs());
    carryOut();
  }

  void onTick(long nowMs) {
    download.onTick(nowMs);
    carryOut();
    lookups.settleAll(table(), nowMs);
  }

  private void carryOut() {
    for (RouteDownload.Effect effect : download.drainEffects()) {
      switch (effect) {
        case RouteDownload.Effect.RequestPart send -> controls.send(send.source(), send.request());
        case RouteDownload.Effect.TableActivated activated -> onTableActivated(activated);
        case RouteDownload.Effect.DownloadFailed failed -> {
          String outcome = "version=%d reason=%s".formatted(failed.version(), failed.reason());
          log.write("configurationFetchGivenUp", failed.source(), outcome);
        }
      }
    }
  }

  private void onTableActivated(RouteDownload.Effect.TableActivated activated) {
    String outcome =
        "version=%d parts=%d fetchMs=%d"
            .formatted(activated.table().version(), activated.partCount(), activated.durationMs());
    log.write("configurationInForce", activated.source(), outcome);
    lookups.settleAll(table(), EventLoop.nowMs());
  }

  /** Looks up a route in the newest configuration. */
  void begin(RouteLookup lookup) {
    lookups.begin(lookup, EventLoop.nowMs());
    controls.readNewestVersion(document, newest -> onVersion(lookup, newest));
  }

  private void onVersion(RouteLookup lookup, Optional<ControlLinks.ReportedVersion> newest) {
    long nowMs = EventLoop.nowMs();
    if (newest.isEmpty()) {
      lookups.versionMissing(lookup, table(), nowMs);
      return;
    }
    lookups.versionReported(lookup, newest.get().version(), table(), nowMs);
    if (newest.get().version() > table().version()) {
      download.onVersionAnnounced(newest.get().address(), newest.get().version(), nowMs);
      carryOut();
    }
  }

  /** Cancels a lookup whose caller has disconnected. */
  void cancel(RouteLookup lookup) {
    lookups.cancel(lookup, EventLoop.nowMs());
  }

  /** Returns whether a request waits for its route. */
  boolean hasLookups() {
    return !lookups.isEmpty();
  }

  /** Drops all lookups, as their callers may have turned to other owners. */
  void dropLookups(String reason) {
    lookups.completeAll(new RouteLookup.Result.Dropped(reason), EventLoop.nowMs());
  }

  /** Refuses all requests that wait for their route. */
  void refuseLookups(String reason) {
    lookups.completeAll(new RouteLookup.Result.Unavailable(reason), EventLoop.nowMs());
  }

  private void logEnd(RouteLookup lookup, Optional<RouteLookup.Result> result, long waitedMs) {
    String outcome =
        result.map(ended -> ended.getClass().getSimpleName()).orElse(CALLER_DISCONNECTED);
    String target = lookup.host() + lookup.path();
    log.write(
        "routeLookedUp",
        target.substring(0, Math.min(target.length(), MAX_LOGGED_CHARS)),
        "result=%s waitedMs=%d version=%d".formatted(outcome, waitedMs, table().version()));
  }
}
