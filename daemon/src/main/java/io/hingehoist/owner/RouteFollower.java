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

/** The routes in force at an owner, and how it comes by newer ones. Owned by the event loop. */
final class RouteFollower {
  /** Longer than parts of some thousand routes take, and short beside a caller's time. */
  private static final long READ_TIMEOUT_MS = 400;

  /** A caller's request that needs a version at least. */
  private record Waiting(long version, long untilMs, Consumer<Optional<RouteTable>> result) {}

  private final String document;
  private final ControlLinks controls;
  private final DecisionLog log;
  private final RouteDownload download = RouteDownload.create();
  private List<Waiting> waiting = new ArrayList<>();

  RouteFollower(String document, ControlLinks controls, DecisionLog log) {
    this.document = document;
    this.controls = controls;
    this.log = log;
  }

  /** Returns the routes in force; an empty table of version 0 before there are any. */
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
    answerWaiting(nowMs);
  }

  private void carryOut() {
    for (RouteDownload.Effect effect : download.drainEffects()) {
      switch (effect) {
        case RouteDownload.Effect.RequestPart ask -> controls.send(ask.source(), ask.request());
        case RouteDownload.Effect.TableActivated inForce -> noteInForce(inForce);
        case RouteDownload.Effect.DownloadFailed givenUp -> {
          String outcome = "version=%d reason=%s".formatted(givenUp.version(), givenUp.reason());
          log.write("configurationFetchGivenUp", givenUp.source(), outcome);
        }
      }
    }
  }

  private void noteInForce(RouteDownload.Effect.TableActivated inForce) {
    String outcome =
        "version=%d parts=%d fetchMs=%d"
            .formatted(inForce.table().version(), inForce.partCount(), inForce.durationMs());
    log.write("configurationInForce", inForce.source(), outcome);
    answerWaiting(EventLoop.nowMs());
  }

  /**
   * Asks which version is the newest, and waits until it is in force here.
   *
   * @param result gets the routes; empty if the newest version can't be learned or had in time
   */
  void readNewest(Consumer<Optional<RouteTable>> result) {
    controls.readNewestVersion(
        document,
        newest -> {
          if (newest.isEmpty()) {
            result.accept(Optional.empty());
          } else {
            await(newest.get(), result);
          }
        });
  }

  private void await(ControlLinks.Newest newest, Consumer<Optional<RouteTable>> result) {
    long nowMs = EventLoop.nowMs();
    waiting.add(new Waiting(newest.version(), nowMs + READ_TIMEOUT_MS, result));
    if (newest.version() > table().version()) {
      download.onVersionAnnounced(newest.address(), newest.version(), nowMs);
      carryOut();
    }
    answerWaiting(nowMs);
  }

  private void answerWaiting(long nowMs) {
    List<Waiting> due = waiting;
    waiting = new ArrayList<>();
    for (Waiting request : due) {
      if (request.version() <= table().version()) {
        request.result().accept(Optional.of(table()));
      } else if (nowMs >= request.untilMs()) {
        request.result().accept(Optional.empty());
      } else {
        waiting.add(request);
      }
    }
  }
}
