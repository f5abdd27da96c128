package io.hingehoist.owner;

import io.hingehoist.log.DecisionLog;
import io.hingehoist.message.DocumentNotice;
import io.hingehoist.message.RoutesPart;
import io.hingehoist.net.ControlLinks;
import io.hingehoist.net.EventLoop;
import io.hingehoist.route.RouteDownload;
import io.hingehoist.route.RouteTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Holds the routes in force at an owner and fetches newer versions from the control replicas. Not
 * thread-safe: confined to the event loop.
 */
final class RouteFetcher {
  /**
   * Longer than it takes to fetch the parts of some thousand routes, and short compared with the
   * time that a caller waits.
   */
  private static final long READ_TIMEOUT_MS = 400;

  /** A caller's read that waits until a version or a newer one is in force. */
  private record PendingRead(
      long version, long expiresAtMs, Consumer<Optional<RouteTable>> result) {}

  private final String document;
  private final ControlLinks controls;
  private final DecisionLog log;
  private final RouteDownload download = RouteDownload.create();
  private List<PendingRead> pendingReads = new ArrayList<>();

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
    completePendingReads(nowMs);
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
    completePendingReads(EventLoop.nowMs());
  }

  /**
   * Reads the newest version number from the leader, and waits until that version is in force here.
   *
   * @param result accepts the routes; empty if the version number or the routes did not arrive in
   *     time
   */
  void readNewest(Consumer<Optional<RouteTable>> result) {
    controls.readNewestVersion(
        document,
        newest -> {
          if (newest.isEmpty()) {
            result.accept(Optional.empty());
          } else {
            awaitVersion(newest.get(), result);
          }
        });
  }

  private void awaitVersion(
      ControlLinks.ReportedVersion newest, Consumer<Optional<RouteTable>> result) {
    long nowMs = EventLoop.nowMs();
    pendingReads.add(new PendingRead(newest.version(), nowMs + READ_TIMEOUT_MS, result));
    if (newest.version() > table().version()) {
      download.onVersionAnnounced(newest.address(), newest.version(), nowMs);
      carryOut();
    }
    completePendingReads(nowMs);
  }

  private void completePendingReads(long nowMs) {
    List<PendingRead> reads = pendingReads;
    pendingReads = new ArrayList<>();
    for (PendingRead read : reads) {
      if (read.version() <= table().version()) {
        read.result().accept(Optional.of(table()));
      } else if (nowMs >= read.expiresAtMs()) {
        read.result().accept(Optional.empty());
      } else {
        pendingReads.add(read);
      }
    }
  }
}
